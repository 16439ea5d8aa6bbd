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
 * The link to one host. Opens connections to the host's addresses when requests are to be sent, and
 * drains a connection that goes silent while the host answers on another one. The scheduler sees
 * one host, whichever address is used. Used on the gateway's event loop only.
 */
public final class HostLink {

  /** Receives the notices that a host sends outside of its responses to requests. */
  public interface Listener {

    /** The host's greeting was accepted; it names the process start and the process's age. */
    void hostGreeted(HostLink link, String processStart, Span processAge);

    /** The host announced that it is draining. */
    void hostDraining(HostLink link);
  }

  /** With more requests than this on the best connection, another one is opened to its address. */
  private static final int REQUESTS_BEFORE_ADDITIONAL_DIAL = 64;

  /** How long to wait for a sign of life after a lost connection before the host counts as lost. */
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

  /** Creates a link without connections. */
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

  /** The host's entry in the host list. */
  public HostSpec spec() {
    return spec;
  }

  /** Applies a changed entry; connections to addresses that it no longer names are drained. */
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

  /** Sends the request on the best connection, or queues it; never ends it within the call. */
  public void run(Exchange exchange) {
    Connection best = connections.best();
    if (best != null && queue.verdict(exchange) != SendVerdict.SEND) {
      queue.queueUntilAllowed(exchange, spec.name());
    } else if (best != null) {
      best.send(exchange);
      if (best.requestsInFlight() > REQUESTS_BEFORE_ADDITIONAL_DIAL) {
        dialer.dialSameAddress(best);
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
   * Ends a request early, without calling {@link Exchange#ended}. If it was sent, the host gets a
   * cancel, and a response that still arrives counts as late.
   *
   * @return whether the request was not sent; no byte of it will be sent then
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
   * Ensures that the request can't reach the host later. Ends it if it is queued, and otherwise
   * resets its connection unless the host is known to have received it. The kernel could otherwise
   * deliver it when a network partition heals, after the hosts have forgotten its token.
   */
  public void recall(Exchange exchange) {
    if (!exchange.mayHaveBeenSent()) {
      if (queue.remove(exchange)) {
        exchange.end(
            ExchangeResult.unanswered(
                Outcome.WITHDRAWN, "its time was over before there was a connection"));
      }
    } else if (!exchange.connection().isAcknowledged(exchange)) {
      exchange.connection().reset("what was sent can't be shown to have arrived in its time");
    }
  }

  /**
   * Resets every connection with requests that the host is not known to have received; called when
   * the grace period of a draining host is over. The kernel would otherwise keep resending them.
   */
  public void recallAll() {
    for (Connection connection : connections.snapshot()) {
      if (connection.hasUnacknowledged()) {
        connection.reset(
            "what was sent can't be shown to have arrived in the grace of a host that closes");
      }
    }
  }

  /** Fails the queued requests if there is no connection and no address may be dialled now. */
  void failQueuedIfUnreachable() {
    queue.failIfUnreachable(spec.name());
  }

  /** Whether requests wait for a connection, or for a sign of life after theirs was lost. */
  boolean hasWaitingRequests() {
    return !queue.isEmpty() || !orphans.isEmpty();
  }

  // ---- liveness ----

  boolean hasOtherAddresses() {
    return spec.addresses().size() > 1;
  }

  void markSuspect(Address address) {
    addresses.markSuspect(address);
  }

  /** Drains a silent connection of a host that answers elsewhere; idempotent requests end. */
  void failOverFrom(Connection silent) {
    if (silent.isReady()) {
      // Logged once a connection: while it drains, it is not ready and this is skipped.
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

  /** When the host last answered a greeting, ping or request; null if it never did. */
  public Moment heardAt() {
    return heardAt;
  }

  // ---- lifecycle ----

  /** Closes the connections that have no requests in flight. */
  public void closeIdle() {
    for (Connection connection : connections.snapshot()) {
      if (connection.isIdle()) {
        connection.drain();
      }
    }
  }

  /** When the longest idle connection was last used; null if no connection is idle. */
  public Moment idleSince() {
    return connections.idleSince();
  }

  /** Closes the longest idle connection, if any connection is idle. */
  public void closeLongestIdle() {
    connections.closeLongestIdle();
  }

  /** The host has left the list: opens no more connections, drains those there are. */
  public void retire() {
    dialer.stop();
    connections.snapshot().forEach(Connection::drain);
    queue.retire(Outcome.CONNECT_FAILED, spec.name() + " has left the list");
  }

  /** Aborts all connections and drops all queued requests, without ending them. */
  public void close() {
    dialer.stop();
    queue.clear();
    connections.snapshot().forEach(Connection::abort);
  }

  /** Fails connections with a write stall that timed out, closes those past the idle timeout. */
  public void check(Moment now) {
    for (Connection connection : connections.snapshot()) {
      connection.checkWrites(now);
      if (connection.isIdle()
          && now.since(connection.usedAt()).isLongerThan(context.limits().idleTimeout())) {
        connection.drain();
      }
    }
  }

  /** Whether there are no connections and no queued requests. */
  public boolean isIdle() {
    return connections.isEmpty() && queue.isEmpty();
  }

  /** Number of connections, open or being opened. */
  public int connections() {
    return connections.size();
  }

  /** Number of responses received for requests that were no longer in flight. */
  public long lateResponses() {
    return lateResponses;
  }

  /** Number of requests that ended because their connection was lost while the host lived. */
  public long connectionLostCount() {
    return orphans.connectionLostCount();
  }

  /** Handles the events of the link's connections. */
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
          // The current process: the connection is accepted.
        }
      }
      return true;
    }

    /** Drains the connections to the replaced process, which are about to break. */
    private void drainOthers(Connection current) {
      connections.snapshot().stream()
          .filter(other -> other != current && other.isEstablished())
          .toList()
          .forEach(Connection::drain);
    }

    @Override
    public void connectionReady(Connection connection, Span processAge) {
      addresses.connected(connection.address(), loop.now());
      abortLowerRankedDials(connection.address());
      listener.hostGreeted(HostLink.this, process.current(), processAge);
      queue.sendAll();
      monitor.checkNow();
      monitor.schedule();
    }

    /** Aborts the pending dials to addresses that rank below the one that has connected. */
    private void abortLowerRankedDials(Address winner) {
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
