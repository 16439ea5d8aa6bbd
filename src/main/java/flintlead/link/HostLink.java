package flintlead.link;

import flintlead.loop.Loop;
import flintlead.loop.Transport;
import flintlead.port.Outcome;
import flintlead.rpc.RpcReader;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.slf4j.Logger;

/** The way to one host: a few connections, opened when there is something to send. */
public final class HostLink {

    /** What a host says of itself outside of answers. */
    public interface Listener {

        /** A connection is open and the host has said which start of its process this is, and how old. */
        void greeted(HostLink link, String start, Span age);

        /** The host says that it drains. */
        void draining(HostLink link);
    }

    /** From this many requests on the least laden connection, another one is opened beside it. */
    private static final int CROWDED = 64;

    final Loop loop;
    final RpcReader reader;
    final LinkBounds bounds;
    final Logger log;
    final String gateway;
    final Random random;
    private final Transport transport;
    private final Listener listener;
    private final Redial redial;
    private HostSpec spec;
    private final List<Connection> connections = new ArrayList<>();
    private final Deque<Exchange> waiting = new ArrayDeque<>();
    private boolean closed;
    private long lateAnswers;
    private Moment heardAt;

    public HostLink(HostSpec spec, String gateway, Loop loop, Transport transport, RpcReader reader, LinkBounds bounds,
                    Random random, Listener listener, Logger log) {
        this.spec = spec;
        this.gateway = gateway;
        this.loop = loop;
        this.transport = transport;
        this.reader = reader;
        this.bounds = bounds;
        this.random = random;
        this.redial = new Redial(random);
        this.listener = listener;
        this.log = log;
    }

    public HostSpec spec() {
        return spec;
    }

    /** The list says something new of the host. Under a new address what is out ends where it is. */
    public void spec(HostSpec now) {
        boolean moved = !now.address().equals(spec.address());
        spec = now;
        if (moved) {
            new ArrayList<>(connections).forEach(Connection::retire);
            redial.reached();
        }
    }

    /** Sends the request on the best connection, or lets it wait for one. Its end never comes within this call. */
    public void run(Exchange exchange) {
        Connection best = best();
        if (best != null) {
            best.send(exchange);
            if (best.load() > CROWDED) {
                dial();
            }
            return;
        }
        exchange.queuedAt = loop.now();
        if (closed) {
            later(exchange, Outcome.CONNECT_FAILED, "the gateway has closed its connections");
        } else if (waiting.size() >= bounds.waiting()) {
            later(exchange, Outcome.FULL, "too many requests wait for a connection to " + spec.name());
        } else if (connections.isEmpty() && !redial.mayDial(loop.now())) {
            later(exchange, Outcome.CONNECT_FAILED, spec.name() + " could not be reached a moment ago");
        } else {
            waiting.add(exchange);
            dial();
        }
    }

    private void later(Exchange exchange, Outcome outcome, String why) {
        loop.at(loop.now(), () -> exchange.end(outcome, null, false, why));
    }

    private Connection best() {
        Connection best = null;
        for (Connection connection : connections) {
            if (connection.takes() && (best == null || connection.load() < best.load())) {
                best = connection;
            }
        }
        return best;
    }

    private void dial() {
        int usable = 0;
        for (Connection connection : connections) {
            if (connection.isOpening()) {
                return;
            }
            usable += connection.isRetired() ? 0 : 1;
        }
        if (!closed && usable < bounds.connections() && connections.size() < 2 * bounds.connections()
            && redial.mayDial(loop.now())) {
            Connection connection = new Connection(this);
            connections.add(connection);
            connection.open(transport.connect(spec.address(), connection));
        }
    }

    /**
     * Ends a request early. Gives back whether it can't have left: then its end is known here and now, and nothing of
     * it is ever sent. Of one that has left, the host is told, and its answer is not waited for any more.
     */
    public boolean withdraw(Exchange exchange) {
        exchange.over = true;
        if (!exchange.sent) {
            waiting.remove(exchange);
            return true;
        }
        exchange.connection.cancel(exchange);
        return false;
    }

    // ---- told by the connections ----

    void ready(Connection connection, String start, Span age) {
        redial.reached();
        listener.greeted(this, start, age);
        sendWaiting();
    }

    void sendWaiting() {
        while (!waiting.isEmpty()) {
            Connection best = best();
            if (best == null) {
                return;
            }
            best.send(waiting.poll());
        }
    }

    void drains() {
        listener.draining(this);
    }

    void heard() {
        heardAt = loop.now();
    }

    /** When it last said anything; null where it never did. */
    public Moment heardAt() {
        return heardAt;
    }

    void lateAnswer() {
        lateAnswers++;
    }

    void gone(Connection connection, boolean wasReady, String why) {
        connections.remove(connection);
        if (!wasReady) {
            redial.failed(loop.now());
            log.info("host {}: {}", spec.name(), why);
        }
        if (connections.isEmpty() && !waiting.isEmpty()) {
            if (wasReady && redial.mayDial(loop.now()) && !closed) {
                dial();
                return;
            }
            List<Exchange> unsent = new ArrayList<>(waiting);
            waiting.clear();
            unsent.forEach(exchange -> exchange.end(Outcome.CONNECT_FAILED, null, false, why));
        }
    }

    // ---- from the gateway ----

    /** Closes connections that have nothing in flight. */
    public void closeIdle() {
        for (Connection connection : new ArrayList<>(connections)) {
            if (connection.load() == 0) {
                connection.retire();
            }
        }
    }

    /** The host has left the list: no new connection; what is out ends where it is. */
    public void retire() {
        closed = true;
        new ArrayList<>(connections).forEach(Connection::retire);
        List<Exchange> unsent = new ArrayList<>(waiting);
        waiting.clear();
        unsent.forEach(exchange -> later(exchange, Outcome.CONNECT_FAILED, spec.name() + " has left the list"));
    }

    /** Drops everything at once. */
    public void close() {
        closed = true;
        waiting.clear();
        new ArrayList<>(connections).forEach(Connection::abort);
    }

    /** Gives up connections whose host reads nothing; called now and then. */
    public void check(Moment now) {
        for (Connection connection : new ArrayList<>(connections)) {
            connection.check(now);
        }
    }

    public boolean isIdle() {
        return connections.isEmpty() && waiting.isEmpty();
    }

    public int waiting() {
        return waiting.size();
    }

    public int connections() {
        return connections.size();
    }

    /** Answers that came after their request had been given up; each fitted nothing and was dropped. */
    public long lateAnswers() {
        return lateAnswers;
    }
}
