package flintlead.platform.upstream;

import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.PollRetry;
import java.util.List;

/**
 * The connections to one host and the requests that wait for one. Each request gets its own
 * connection while more may be opened, because a malformed response ends all requests in flight on
 * its connection; beyond that, requests share connections. Used on the event loop only.
 */
public final class ConnectionPool {

  /** Time after a connection broke within which the host must show that it is alive. */
  private static final Span LIVENESS_TIMEOUT = Span.ofMillis(150);

  /** Connections reset while opening after which a queued request fails; one refusal suffices. */
  private static final int MAX_CONNECT_FAILURES = 4;

  private static final int MAX_QUEUED_REQUESTS = 2_000;

  /**
   * Fraction of the host's idle timeout after which this gateway closes an idle connection. If the
   * host closed it first, a request could be sent at the same moment and be lost.
   */
  private static final double IDLE_TIMEOUT_FRACTION = 0.6;

  /**
   * Fraction of the drain grace period after which unsent bytes are discarded: bytes sent later
   * could reach the host after the grace period.
   */
  private static final double DISCARD_FRACTION = 0.5;

  private final ConnectionPools pools;
  private final String hostName;
  private final Address address;
  private final Moment startedAt;
  private final HostConnections connections = new HostConnections();
  private final QueuedRequests queue = new QueuedRequests();
  private final UnsettledRequests unsettled = new UnsettledRequests(this::endLater);
  private final HostLeaseRenewal renewal;
  private final HostListStatus listStatus = new HostListStatus();

  /** Whether all connections to the host were once reset or refused. */
  private boolean mayHaveDied;

  /** Sends queued requests that wait for the next poll of the sockets. */
  private final PollRetry sendAfterPoll;

  ConnectionPool(
      ConnectionPools pools, long host, String hostName, Address address, Moment startedAt) {
    this.pools = pools;
    this.hostName = hostName;
    this.address = address;
    this.startedAt = startedAt;
    this.renewal = new HostLeaseRenewal(this, host, pools.guard());
    this.sendAfterPoll = new PollRetry(pools.loop(), this::sendDeferred);
  }

  String hostName() {
    return hostName;
  }

  Address address() {
    return address;
  }

  Moment startedAt() {
    return startedAt;
  }

  HostLeaseRenewal leaseRenewal() {
    return renewal;
  }

  boolean isActive() {
    return listStatus.isActive();
  }

  EventExecutor loop() {
    return pools.loop();
  }

  ConnectionPools pools() {
    return pools;
  }

  Moment now() {
    return pools.loop().now();
  }

  // ---- requests ----

  /** Sends the request or queues it. The outcome is never delivered within this call. */
  public void submit(Request request) {
    if (!isActive() || mayReachAnotherHost(request)) {
      endLater(request, Outcome.CONNECT_FAILED);
    } else if (queue.size() + renewal.waitingCount() >= MAX_QUEUED_REQUESTS) {
      endLater(request, Outcome.FULL);
    } else if (request.isNewWork() && !renewal.isLeaseValid()) {
      renewal.awaitProbe(request);
    } else {
      queue.add(request);
      sendQueued();
    }
  }

  /** Sends requests that waited for a probe, after the probe has renewed the host's lease. */
  void sendAfterProbe(List<Request> requests) {
    queue.addAll(requests);
    sendQueued();
  }

  /** Sends a command that has no response; dropped if no connection accepts it now. */
  public void sendCommand(String line) {
    HostConnection connection = connections.anyAccepting();
    if (connection != null) {
      connection.sendCommand(line);
    }
  }

  /**
   * Ends a request early, without delivering an outcome.
   *
   * @return whether certainly nothing of it was sent; if not, the host is sent a cancellation
   */
  public boolean withdraw(Request request) {
    request.withdrawn();
    unsettled.remove(request);
    if (!request.wasWritten()) {
      if (!queue.remove(request)) {
        renewal.remove(request);
      }
      return true;
    }
    request.connection().cancel(request);
    return false;
  }

  /** Ends the request as withdrawn if it is still queued; the outcome is delivered later. */
  public void withdrawIfQueued(Request request) {
    if (queue.remove(request) || renewal.remove(request)) {
      endLater(request, Outcome.WITHDRAWN);
    }
  }

  /** Delivers the outcome of a request that is neither queued nor in flight, in another event. */
  void endLater(Request request, Outcome outcome) {
    request.outcomeKnown();
    pools.loop().scheduleAt(now(), () -> request.end(outcome, ResponseFields.NONE, null));
  }

  private void sendQueued() {
    while (!queue.isNoneReady()) {
      Request request = queue.peek();
      HostConnection idle = connections.idleFor(request);
      if (idle == null && mayConnect()) {
        if (connections.connecting() >= queue.size()) {
          // Enough connections are opening for all queued requests; the first to open takes this.
          return;
        }
        if (connect()) {
          if (connections.connecting() >= queue.size()) {
            return;
          }
          continue;
        }
      }
      HostConnection connection = idle != null ? idle : connections.leastLoadedFor(request);
      if (connection != null) {
        sendIfAllowed(request, connection);
      } else if (isDisconnected()) {
        queue.poll();
        endLater(request, Outcome.CONNECT_FAILED);
      } else {
        return;
      }
    }
  }

  /**
   * Sends the request, ends it if it must never be sent, or sets it aside if it has to wait until
   * the sockets were polled.
   */
  private void sendIfAllowed(Request request, HostConnection connection) {
    queue.poll();
    if (mayReachAnotherHost(request)) {
      endLater(request, Outcome.CONNECT_FAILED);
      return;
    }
    switch (connection.send(request, pools.loop().polls())) {
      case SEND -> {
        // The response, or the end of the connection, is handled when it arrives.
      }
      case POLL_FIRST -> {
        queue.defer(request);
        pools.countDeferredSend();
        sendAfterPoll.schedule();
      }
      case PROBE_FIRST, UNPROVEN -> renewal.awaitProbe(request);
      default -> endLater(request, Outcome.WITHDRAWN);
    }
  }

  /** Whether another host answers at the address, which the list has named there since. */
  private boolean mayReachAnotherHost(Request request) {
    return request.isNewWork() && mayHaveDied && pools.isAddressReused(this);
  }

  private void sendDeferred() {
    queue.resumeDeferred();
    sendQueued();
  }

  /** Whether no connection is left and no liveness check runs: queued requests fail at once. */
  private boolean isDisconnected() {
    return connections.isEmpty() && unsettled.isEmpty();
  }

  // ---- opening connections ----

  private boolean mayConnect() {
    return isActive() && connections.size() < pools.maxConnectionsPerHost();
  }

  /** Begins to open a connection; returns false if the limits of all pools do not allow it. */
  private boolean connect() {
    if (!pools.tryAcquireConnection(this)) {
      return false;
    }
    HostConnection connection = new HostConnection(this);
    connections.add(connection);
    pools.connectionAdded();
    connection.attach(pools.transport().connect(address, connection));
    pools.loop().scheduleAfter(pools.limits().connectTimeout(), connection::connectTimedOut);
    return true;
  }

  // ---- events of its connections ----

  void opened(HostConnection connection) {
    connections.opened();
    unsettled.hostIsAlive();
    sendQueued();
    if (!isActive()) {
      connection.drain();
    }
  }

  /** Called when bytes have arrived from the host. */
  void received() {
    unsettled.hostIsAlive();
    sendQueued();
  }

  /** Called when a connection's send buffer has become empty. */
  void sendBufferDrained() {
    sendQueued();
  }

  void closed(HostConnection connection, List<Request> unanswered, CloseReason reason) {
    connections.remove(connection);
    pools.connectionRemoved();
    if (reason.mayMeanDeath() && !connections.hasOpen()) {
      mayHaveDied = true;
    }
    switch (reason) {
      case MALFORMED_RESPONSE ->
          unanswered.forEach(request -> endLater(request, Outcome.CONNECTION_LOST));
      case BROKEN -> {
        checkLiveness(unanswered);
        if (!connections.hasOpen()) {
          renewal.lastConnectionBroke();
        }
      }
      case RESET_WHILE_CONNECTING -> {
        // The host is alive: only a process that has accepted a connection can reset it.
        unsettled.hostIsAlive();
        connectFailed(1);
      }
      case LOCAL_EXHAUSTION -> {
        // A local failure, which proves nothing about the host.
        pools.descriptorsExhausted();
        connectFailed(1);
      }
      case CONNECT_FAILED, CONNECT_TIMED_OUT -> {
        renewal.unreachable();
        unsettled.hostIsDead();
        connectFailed(MAX_CONNECT_FAILURES);
      }
      default -> {
        // This gateway closed the connection; no request was in flight on it.
      }
    }
    if (reason == CloseReason.CLOSED_LOCALLY) {
      // Closed at the connection limit or after a withdrawal: queued requests may need another.
      pools.loop().scheduleAt(now(), this::sendQueued);
    } else {
      sendQueued();
    }
  }

  /** Opens a connection, if none is being opened, to find out whether the host is alive. */
  private void checkLiveness(List<Request> unanswered) {
    if (unanswered.isEmpty()) {
      return;
    }
    unsettled.addAll(unanswered);
    boolean connecting = connections.connecting() > 0 || mayConnect() && connect();
    pools
        .loop()
        .scheduleAfter(
            connecting ? LIVENESS_TIMEOUT : Span.ZERO, () -> unsettled.hostIsDead(unanswered));
  }

  /** Ends queued requests with too many connect failures, unless another connection is open. */
  private void connectFailed(int failures) {
    boolean othersOpen = connections.hasOpen();
    for (Request request : queue.copy()) {
      if (request.addFailedConnects(failures) >= MAX_CONNECT_FAILURES && !othersOpen) {
        queue.remove(request);
        endLater(request, Outcome.CONNECT_FAILED);
      }
    }
  }

  // ---- events of the host list ----

  /** Sends no new requests from now on and ends the queued ones. Requests in flight may finish. */
  void drain() {
    if (listStatus.drain()) {
      beginDraining();
    }
  }

  /** Called when the host list reports the host as active; ends a drain. */
  void activate() {
    listStatus.activate();
  }

  /** Called when the host was removed from the host list: drains permanently. */
  void remove() {
    if (listStatus.remove()) {
      beginDraining();
    }
  }

  private void beginDraining() {
    int drainNumber = listStatus.drainNumber();
    queue.addAll(renewal.removeWaiting());
    queue.removeAll().forEach(request -> endLater(request, Outcome.CONNECT_FAILED));
    connections.copy().forEach(HostConnection::drain);
    loop()
        .scheduleAfter(
            pools.limits().drainGrace().times(DISCARD_FRACTION), () -> discard(drainNumber));
  }

  private void discard(int drainNumber) {
    if (listStatus.isInDrain(drainNumber)) {
      connections.discardUnsentBytes();
    }
  }

  // ---- maintenance ----

  /** Whether no connection, request or probe is left. */
  boolean isEmpty() {
    return connections.isEmpty() && queue.isEmpty() && unsettled.isEmpty() && renewal.isEmpty();
  }

  /**
   * Maintains the connections; called regularly. Also sends queued requests: if a connection of
   * another pool has closed and made room for one here, no event of this pool reports it.
   */
  void maintain(Moment now) {
    sendQueued();
    if (!renewal.isLeaseValid()) {
      // Bytes that are still unsent would reach the host after its lease has ended.
      connections.discardUnsentBytes();
    }
    connections.maintain(now, pools.limits().hostIdleTimeout().times(IDLE_TIMEOUT_FRACTION));
  }

  /** Closes connections that have no request in flight. */
  public void closeIdle() {
    connections.closeIdle();
  }

  /** The connection that has been idle the longest; null if none is idle. */
  HostConnection longestIdle() {
    return connections.longestIdle();
  }
}
