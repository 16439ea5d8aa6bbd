package flintlead.gateway.upstream;

import flintlead.routing.guard.SendVerdict;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.dial.AddressSelector;
import flintlead.transport.dial.AddressSelector.FailureKind;
import flintlead.transport.dial.LocalExhaustion;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import java.util.List;

/**
 * The link to one host: connections on its addresses, opened when there is something to send, left
 * when they go silent while the host answers on another. To the scheduler it is one host, whatever
 * the address. Used on the gateway's event loop only.
 */
public final class HostLink {

  /** What a host reports of itself, outside of answers. */
  public interface Listener {

    /** The host has greeted: which start of its process this is, and how old the process is. */
    void hostGreeted(HostLink link, String processStart, Span processAge);

    /** The host announced that it drains. */
    void hostDraining(HostLink link);
  }

  /** From this many requests on the best connection, another one is opened beside it. */
  private static final int CROWDED = 64;

  /** How long the host may take to answer elsewhere before a lost connection means a lost host. */
  private static final Span ORPHAN_TIMEOUT = Span.ofMillis(150);

  private final UpstreamContext context;
  private final EventExecutor loop;
  private final Listener listener;
  private final AddressSelector<Address> addresses;
  private final ConnectionSet connections;
  private final Dialer dialer;
  private final LivenessMonitor monitor;
  private final RequestQueue queue;
  private final OrphanedRequests orphans = new OrphanedRequests();
  private final ProcessIdentity process = new ProcessIdentity();
  private HostSpec spec;
  private long lateResponses;
  private Moment heardAt;

  /** Makes a link without connections. */
  public HostLink(HostSpec spec, UpstreamContext context, Listener listener) {
    this.spec = spec;
    this.context = context;
    this.loop = context.loop();
    this.listener = listener;
    this.addresses = new AddressSelector<>(spec.addresses(), HostLink::family, context.random());
    this.connections = new ConnectionSet(addresses, this::hasOtherAddresses);
    this.dialer = new Dialer(context, new ConnectionEvents(), addresses, connections);
    this.monitor = new LivenessMonitor(this, loop, connections, dialer);
    this.queue =
        new RequestQueue(context, connections, dialer, this::run, this::withdraw, spec.name());
  }

  private static Object family(Address address) {
    if (address instanceof Address.Tcp tcp) {
      return tcp.host().contains(":") ? "IPv6" : "IPv4";
    }
    return "unix";
  }

  /** The host's line of the list. */
  public HostSpec spec() {
    return spec;
  }

  /** Takes a changed line of the list; connections on addresses that left it drain. */
  public void spec(HostSpec changed) {
    spec = changed;
    addresses.addresses(changed.addresses());
    for (Connection connection : connections.snapshot()) {
      if (!changed.addresses().contains(connection.address())) {
        connection.drain();
      }
    }
  }

  // ---- requests ----

  /** Sends the request on the best connection, or queues it. It never ends within this call. */
  public void run(Exchange exchange) {
    Connection best = connections.best();
    if (best != null && queue.verdict(exchange) != SendVerdict.SEND) {
      queue.sendOnceSeen(exchange, spec.name());
    } else if (best != null) {
      best.send(exchange);
      if (best.requestsInFlight() > CROWDED) {
        dialer.dialBeside(best);
      }
      monitor.schedule();
    } else if (dialer.isStopped()) {
      queue.endLater(exchange, Outcome.CONNECT_FAILED, "the gateway has closed its connections");
    } else if (queue.isFull()) {
      queue.endLater(
          exchange, Outcome.FULL, "too many requests wait for a connection to " + spec.name());
    } else if (connections.isEmpty() && !dialer.mayDialNow()) {
      queue.endLater(
          exchange, Outcome.CONNECT_FAILED, spec.name() + " could not be reached a moment ago");
    } else {
      queue.add(exchange);
      dialer.dialNext();
      monitor.schedule();
    }
  }

  /**
   * Ends a request early, without a call of {@link Exchange#attemptEnded}. If it was sent, the host
   * is told and its answer is not awaited any more.
   *
   * @return whether the request can't have left; then nothing of it is ever sent
   */
  public boolean withdraw(Exchange exchange) {
    boolean sent = exchange.mayHaveBeenSent();
    exchange.markWithdrawn();
    orphans.remove(exchange);
    if (sent) {
      exchange.connection().cancel(exchange);
    } else {
      queue.remove(exchange);
    }
    return !sent;
  }

  /**
   * Sees to it that the request arrives now or never. Unless it is known to have arrived, its
   * connection is reset: a network that was cut would otherwise deliver it when it is whole again,
   * after the hosts have forgotten its token.
   */
  public void recall(Exchange exchange) {
    if (!exchange.mayHaveBeenSent()) {
      if (queue.remove(exchange)) {
        exchange.end(
            ExchangeResult.unanswered(
                Outcome.WITHDRAWN, "its time was over before there was a connection"));
      }
    } else if (!exchange.connection().hasArrived(exchange)) {
      exchange.connection().reset("what was sent can't be shown to have arrived in its time");
    }
  }

  /**
   * Resets every connection with requests that are not known to have arrived: the host drains and
   * its grace is over. A network that lost them would send them again and again.
   */
  public void recallAll() {
    for (Connection connection : connections.snapshot()) {
      if (connection.hasUnacknowledged()) {
        connection.reset(
            "what was sent can't be shown to have arrived in the grace of a host that closes");
      }
    }
  }

  /** Fails what is queued if there is neither a connection nor an address to dial now. */
  void failQueuedIfUnreachable() {
    queue.failIfUnreachable(spec.name());
  }

  /** Whether requests wait for a connection, or for a sign of life on another one. */
  boolean awaitsConnection() {
    return !queue.isEmpty() || !orphans.isEmpty();
  }

  // ---- liveness ----

  boolean hasOtherAddresses() {
    return spec.addresses().size() > 1;
  }

  void markSuspect(Address address) {
    addresses.markSuspect(address);
  }

  /** The host answers on another address: leaves this one; what is idempotent may be retried. */
  void leaveSilent(Connection silent) {
    if (silent.isReady()) {
      // Once for each connection: it stays here, draining, while requests are out on it.
      context
          .log()
          .atWarn()
          .addKeyValue("host", spec.name())
          .addKeyValue("address", silent.address())
          .log("upstream_address_silent");
    }
    addresses.recordFailure(silent.address(), FailureKind.UNRESPONSIVE, loop.now());
    List<Exchange> retryable = silent.removeIdempotent();
    silent.drain();
    String reason = silent.address() + " went silent";
    retryable.forEach(exchange -> orphans.connectionLost(exchange, reason));
  }

  /** When the host last answered anything; null if it never did. */
  public Moment heardAt() {
    return heardAt;
  }

  // ---- lifecycle ----

  /** Closes connections that have nothing in flight. */
  public void closeIdle() {
    for (Connection connection : connections.snapshot()) {
      if (connection.isIdle()) {
        connection.drain();
      }
    }
  }

  /** Since when its longest idle connection carries nothing; null if none is idle. */
  public Moment idleSince() {
    return connections.idleSince();
  }

  /** Closes its longest idle connection. */
  public void closeLongestIdle() {
    connections.closeLongestIdle();
  }

  /** The host has left the list: opens no connection; what is out ends where it is. */
  public void retire() {
    dialer.stop();
    connections.snapshot().forEach(Connection::drain);
    queue.retire(Outcome.CONNECT_FAILED, spec.name() + " has left the list");
  }

  /** Drops everything at once. */
  public void close() {
    dialer.stop();
    queue.clear();
    connections.snapshot().forEach(Connection::abort);
  }

  /** Fails connections whose host reads nothing, closes those idle for too long. */
  public void check(Moment now) {
    for (Connection connection : connections.snapshot()) {
      connection.checkWrites(now);
      if (connection.isIdle()
          && now.since(connection.usedAt()).isLongerThan(context.limits().idleTimeout())) {
        connection.drain();
      }
    }
  }

  /** Whether nothing is open and nothing queued. */
  public boolean isIdle() {
    return connections.isEmpty() && queue.isEmpty();
  }

  /** Connections open or being opened. */
  public int connections() {
    return connections.size();
  }

  /** How many answers came after their request had been given up. */
  public long lateResponses() {
    return lateResponses;
  }

  /** How many requests ended because their connection was lost while the host lived. */
  public long connectionLostCount() {
    return orphans.connectionLostCount();
  }

  /** What the connections report. */
  private final class ConnectionEvents implements ConnectionListener {

    @Override
    public String hostName() {
      return spec.name();
    }

    @Override
    public boolean acceptsProcess(Connection connection, String processStart) {
      switch (process.greeted(processStart)) {
        case OUTDATED -> {
          context
              .log()
              .atError()
              .addKeyValue("host", spec.name())
              .addKeyValue("address", connection.address())
              .log("upstream_duplicate_host_name");
          return false;
        }
        case REPLACES_CURRENT -> drainOthers(connection);
        default -> {
          // The process that is known here.
        }
      }
      return true;
    }

    /** Connections to the process before are about to break: nothing new goes there. */
    private void drainOthers(Connection current) {
      connections.snapshot().stream()
          .filter(other -> other != current && other.isEstablished())
          .toList()
          .forEach(Connection::drain);
    }

    @Override
    public void connectionReady(Connection connection, Span processAge) {
      addresses.connected(connection.address(), loop.now());
      abortDialsOfWorse(connection.address());
      listener.hostGreeted(HostLink.this, process.current(), processAge);
      queue.sendAll();
      monitor.checkNow();
      monitor.schedule();
    }

    /** The race of staggered dials is won: dials of lower rank are not awaited. */
    private void abortDialsOfWorse(Address winner) {
      for (Connection other : connections.snapshot()) {
        if (other.isConnecting()
            && addresses.state(winner) == AddressSelector.State.UP
            && addresses.rank(other.address()) > addresses.rank(winner)) {
          other.abort();
          connections.remove(other);
        }
      }
    }

    @Override
    public void hostDraining() {
      listener.hostDraining(HostLink.this);
    }

    @Override
    public void responseReceived(Connection connection) {
      heardAt = loop.now();
      addresses.recordActivity(connection.address(), heardAt);
      if (!orphans.isEmpty()) {
        List<Exchange> decided = orphans.snapshot();
        loop.scheduleAt(heardAt, () -> orphans.hostAlive(decided));
      }
    }

    @Override
    public void requestAnswered(Exchange exchange, Outcome outcome) {
      queue.answered(exchange, outcome);
    }

    @Override
    public void lateResponse() {
      lateResponses++;
    }

    @Override
    public void connectionWritable() {
      queue.sendAll();
    }

    @Override
    public void connectionClosed(Connection connection) {
      connections.remove(connection);
      queue.redial(spec.name());
    }

    @Override
    public void connectionFailed(Connection connection, FailureKind kind, String reason) {
      connections.remove(connection);
      addresses.recordFailure(connection.address(), kind, loop.now());
      context
          .log()
          .atInfo()
          .addKeyValue("host", spec.name())
          .addKeyValue("address", connection.address())
          .addKeyValue("failure", kind)
          .addKeyValue("reason", reason)
          .log("upstream_connection_failed");
      if (LocalExhaustion.isReportedBy(reason)) {
        dialer.descriptorsExhausted();
      }
      queue.redial(spec.name());
    }

    @Override
    public void requestsLost(List<Exchange> unanswered, String reason) {
      if (!hasOtherAddresses() || dialer.isStopped() || unanswered.isEmpty()) {
        unanswered.forEach(
            exchange -> exchange.end(ExchangeResult.unanswered(Outcome.RESET, reason)));
        return;
      }
      orphans.add(unanswered, reason);
      loop.scheduleAfter(ORPHAN_TIMEOUT, () -> orphans.hostSilent(unanswered));
      connections.pingAll();
      dialer.dialNext();
      monitor.schedule();
    }
  }
}
