package flintlead.platform.link;

import flintlead.dial.DialBudget;
import flintlead.loop.Address;
import flintlead.loop.Loop;
import flintlead.loop.Transport;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The ways to all hosts, within one bound on their connections. */
public final class HostWays {

    private static final Span LOOK_ROUND = Span.ofMillis(50);
    private static final double DIALS_PER_SECOND = 2_000;
    /** Connections to one host: own invocations there are fewer as a rule. */
    private static final int OF_ONE_MOST = 32;

    final LinkTerms terms;
    final Loop loop;
    final Transport transport;
    final Consumer<String> log;
    private final DialBudget budget;
    private final Map<Long, HostWay> ways = new TreeMap<>();
    /** Of hosts that have left, until the last of their connections has ended. */
    private final Map<Long, HostWay> leaving = new TreeMap<>();
    private int connections;

    public HostWays(LinkTerms terms, Loop loop, Transport transport, Consumer<String> log) {
        this.terms = terms;
        this.loop = loop;
        this.transport = transport;
        this.log = log;
        this.budget = new DialBudget(terms.connections(), DIALS_PER_SECOND);
        lookRound();
    }

    private void lookRound() {
        loop.after(LOOK_ROUND, () -> {
            Moment now = loop.now();
            ways.values().forEach(way -> way.check(now));
            leaving.values().forEach(way -> way.check(now));
            leaving.values().removeIf(HostWay::isEmpty);
            lookRound();
        });
    }

    /** The way to a listed host; null where it is not listed. */
    public HostWay to(long host) {
        return ways.get(host);
    }

    /** The list has the host. */
    public void listed(long host, String name, Address address, boolean draining) {
        HostWay way = ways.get(host);
        if (way != null && !way.address().equals(address)) {
            left(host);
            way = null;
        }
        if (way == null) {
            way = new HostWay(this, name, address);
            ways.put(host, way);
        }
        if (draining) {
            way.drains();
        } else {
            way.returns();
        }
    }

    /** The host is in the list no more. */
    public void left(long host) {
        HostWay way = ways.remove(host);
        if (way != null) {
            way.leaves();
            leaving.put(host, way);
        }
    }

    boolean mayOpen(HostWay way) {
        Moment now = loop.now();
        if (budget.open(now, connections)) {
            return true;
        }
        if (budget.sheds(now, connections)) {
            shed(way);
            return budget.open(now, connections);
        }
        return false;
    }

    /** The system had no descriptor left: nothing is opened for a moment, and the connection idle longest goes. */
    void exhausted() {
        budget.exhausted(loop.now());
        shed(null);
    }

    private void shed(HostWay whoAsks) {
        HostConnection idlest = null;
        for (HostWay way : ways.values()) {
            HostConnection one = way == whoAsks ? null : way.idlest();
            if (one != null && (idlest == null || one.usedAt().isBefore(idlest.usedAt()))) {
                idlest = one;
            }
        }
        if (idlest != null) {
            idlest.close();
        }
    }

    /** An even part for each host, so that one in trouble does not take all. */
    int mostOfOne() {
        return Math.max(2, Math.min(OF_ONE_MOST, 2 * terms.connections() / Math.max(1, ways.size())));
    }

    void opened(int more) {
        connections += more;
    }

    public int connections() {
        return connections;
    }
}
