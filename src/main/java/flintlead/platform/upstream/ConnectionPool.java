package flintlead.platform.upstream;

import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The connections to one host and the requests that wait for one. Each request gets a connection of
 * its own as long as more may be opened, as a malformed response takes everything with it that is
 * in flight on its connection; beyond that many requests share one. Used on the event loop only.
 */
public final class ConnectionPool {

  /** How long after a connection broke the host is given to show that it is alive. */
  private static final Span LIVENESS_TIMEOUT = Span.ofMillis(150);

  /** Connections that may be reset while opening under a queued request, before it fails. */
  private static final int MAX_CONNECT_FAILURES = 4;

  private static final int MAX_QUEUED = 2_000;

  /**
   * When this side closes an idle connection, as a fraction of the host's own idle timeout: else a
   * request would cross the host's close.
   */
  private static final double IDLE_TIMEOUT_FRACTION = 0.6;

  /**
   * When bytes in send buffers are discarded, as a fraction of the drain grace: they would arrive
   * after it.
   */
  private static final double DISCARD_FRACTION = 0.5;

  private final ConnectionPools all;
  private final String hostName;
  private final Address address;
  private final Moment startedAt;
  private final HostConnections connections = new HostConnections();
  private final Deque<Request> queue = new ArrayDeque<>();
  private final UnsettledRequests unsettled = new UnsettledRequests(this::endLater);
  private final HostProofs proof;
  private final ListedStatus listed = new ListedStatus();

  /** Whether what is queued waits until the sockets were looked at. */
  private boolean awaitsPoll;

  ConnectionPool(
      ConnectionPools all, long host, String hostName, Address address, Moment startedAt) {
    this.all = all;
    this.hostName = hostName;
    this.address = address;
    this.startedAt = startedAt;
    this.proof = new HostProofs(this, host, all.guard());
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

  HostProofs proof() {
    return proof;
  }

  boolean isActive() {
    return listed.isActive();
  }

  EventExecutor loop() {
    return all.loop();
  }

  LinkLimits limits() {
    return all.limits();
  }

  Moment now() {
    return all.loop().now();
  }

  // ---- requests ----

  /** Sends the request, or queues it; its outcome is never delivered within this call. */
  public void run(Request request) {
    if (!isActive()) {
      endLater(request, Outcome.CONNECT_FAILED);
    } else if (queue.size() + proof.waiting() >= MAX_QUEUED) {
      endLater(request, Outcome.FULL);
    } else if (request.isNewWork() && !proof.holds()) {
      proof.await(request);
    } else {
      queue.add(request);
      sendQueued();
    }
  }

  /** Sends requests whose host has just been proven to take new work. */
  void sendProven(List<Request> proven) {
    queue.addAll(proven);
    sendQueued();
  }

  /** Sends a command that has no response; dropped where no connection accepts it now. */
  public void sendCommand(String line) {
    HostConnection connection = connections.anyAccepting();
    if (connection != null) {
      connection.sendCommand(line);
    }
  }

  /**
   * Ends a request early; no outcome is delivered.
   *
   * @return whether it is proven that nothing of it left; else the host is sent a cancellation
   */
  public boolean withdraw(Request request) {
    request.withdrawn();
    unsettled.remove(request);
    if (!request.mayHaveLeft()) {
      if (!queue.remove(request)) {
        proof.remove(request);
      }
      return true;
    }
    request.connection().cancel(request);
    return false;
  }

  /**
   * Ends the request as withdrawn if it is still queued; one that has left is not touched. The
   * outcome is delivered later.
   */
  public void withdrawIfQueued(Request request) {
    if (queue.remove(request) || proof.remove(request)) {
      endLater(request, Outcome.WITHDRAWN);
    }
  }

  /** Delivers the outcome of a request that is nowhere any more, as an event of its own. */
  void endLater(Request request, Outcome outcome) {
    request.decided();
    all.loop().scheduleAt(now(), () -> request.end(outcome, ResponseFields.NONE, null));
  }

  private void sendQueued() {
    while (!queue.isEmpty()) {
      Request request = queue.peek();
      HostConnection idle = connections.idleFor(request);
      if (idle == null && mayConnect()) {
        if (connections.connecting() >= queue.size()) {
          // As many as wait are being opened: it goes on whichever is open first.
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
        if (!sendIfAllowed(request, connection)) {
          return;
        }
      } else if (hasNoProspect()) {
        queue.poll();
        endLater(request, Outcome.CONNECT_FAILED);
      } else {
        return;
      }
    }
  }

  /**
   * Sends the request, or ends it where it must never leave; false where it waits until the sockets
   * were looked at, and all behind it too.
   */
  private boolean sendIfAllowed(Request request, HostConnection connection) {
    queue.poll();
    switch (connection.send(request, all.loop().polls())) {
      case SEND -> {
        // Its response, or the end of its connection, comes later.
      }
      case LOOK_FIRST -> {
        queue.addFirst(request);
        sendAfterNextPoll();
        return false;
      }
      case PROVE_FIRST, UNPROVEN -> proof.await(request);
      default -> endLater(request, Outcome.WITHDRAWN);
    }
    return true;
  }

  private void sendAfterNextPoll() {
    if (!awaitsPoll) {
      awaitsPoll = true;
      all.sendDeferred();
      all.loop()
          .polls()
          .afterNextPoll(
              () -> {
                awaitsPoll = false;
                sendQueued();
              });
    }
  }

  /** Neither a connection nor a way to open one: a request may go elsewhere at once. */
  private boolean hasNoProspect() {
    return connections.isEmpty() && unsettled.isEmpty();
  }

  // ---- opening connections ----

  private boolean mayConnect() {
    return isActive() && connections.size() < all.maxPerHost();
  }

  /** Begins to open a connection; false where the bounds on all connections do not allow it. */
  private boolean connect() {
    if (!all.mayOpen(this)) {
      return false;
    }
    HostConnection connection = new HostConnection(this);
    connections.add(connection);
    all.connectionAdded();
    connection.attach(all.transport().connect(address, connection));
    all.loop().scheduleAfter(limits().connectTimeout(), connection::connectTimedOut);
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

  /** Bytes came from the host. */
  void received() {
    unsettled.hostIsAlive();
    sendQueued();
  }

  /** A connection's send buffer is empty again. */
  void sendBufferDrained() {
    sendQueued();
  }

  void logMalformedResponse(String reason) {
    all.logMalformedResponse(hostName, reason);
  }

  void closed(HostConnection connection, List<Request> unanswered, CloseReason reason) {
    connections.remove(connection);
    all.connectionRemoved();
    switch (reason) {
      case MALFORMED_RESPONSE ->
          unanswered.forEach(request -> endLater(request, Outcome.CONNECTION_LOST));
      case BROKEN -> {
        checkLiveness(unanswered);
        if (!connections.hasOpen()) {
          proof.lastConnectionBroke();
        }
      }
      case RESET_WHILE_CONNECTING -> {
        // Only a listening host can reset a connection that it has accepted.
        unsettled.hostIsAlive();
        connectFailed(1);
      }
      case LOCAL_EXHAUSTION -> {
        // It says nothing of the host.
        all.descriptorsExhausted();
        connectFailed(1);
      }
      case CONNECT_FAILED -> {
        proof.unreachable();
        unsettled.hostIsDead();
        connectFailed(MAX_CONNECT_FAILURES);
      }
      default -> {
        // Closed by this gateway, with nothing in flight.
      }
    }
    if (reason == CloseReason.CLOSED_LOCALLY) {
      // Closed by the bounds or after a withdrawal: a queued request may need another connection.
      all.loop().scheduleAt(now(), this::sendQueued);
    } else {
      sendQueued();
    }
  }

  /** Opens a connection, if none is being opened, to see whether the host is alive. */
  private void checkLiveness(List<Request> unanswered) {
    if (unanswered.isEmpty()) {
      return;
    }
    unsettled.addAll(unanswered);
    boolean connecting = connections.connecting() > 0 || mayConnect() && connect();
    all.loop()
        .scheduleAfter(
            connecting ? LIVENESS_TIMEOUT : Span.ZERO, () -> unsettled.hostIsDead(unanswered));
  }

  /** Ends the queued requests that have seen too many connections fail, unless another is open. */
  private void connectFailed(int failures) {
    boolean othersOpen = connections.hasOpen();
    for (Request request : List.copyOf(queue)) {
      if (request.addFailedConnects(failures) >= MAX_CONNECT_FAILURES && !othersOpen) {
        queue.remove(request);
        endLater(request, Outcome.CONNECT_FAILED);
      }
    }
  }

  // ---- events of the endpoint list ----

  /** Sends nothing new from now on and ends what is queued; what is in flight may end. */
  void drain() {
    if (listed.drain()) {
      beginDraining();
    }
  }

  /** The host takes part again, under the same name. */
  void activate() {
    listed.activate();
  }

  /** The host is not listed any more: drains for good. */
  void remove() {
    if (listed.remove()) {
      beginDraining();
    }
  }

  private void beginDraining() {
    int thisDrain = listed.drainNumber();
    queue.addAll(proof.takeWaiting());
    List<Request> queued = List.copyOf(queue);
    queue.clear();
    queued.forEach(request -> endLater(request, Outcome.CONNECT_FAILED));
    connections.copy().forEach(HostConnection::drain);
    loop().scheduleAfter(limits().drainGrace().times(DISCARD_FRACTION), () -> discard(thisDrain));
  }

  private void discard(int ofDrain) {
    if (listed.isInDrain(ofDrain)) {
      connections.discardUnsentBytes();
    }
  }

  // ---- upkeep ----

  /** Whether nothing is left of it. */
  boolean isEmpty() {
    return connections.isEmpty() && queue.isEmpty() && unsettled.isEmpty() && proof.isEmpty();
  }

  /**
   * Looks after its connections. Called regularly, as it also sends queued requests: that another
   * pool's connection made room is an event of no connection here.
   */
  void maintain(Moment now) {
    sendQueued();
    if (!proof.holds()) {
      // What has not left yet would arrive after the host's lease has ended.
      connections.discardUnsentBytes();
    }
    connections.maintain(now, limits().hostIdleTimeout().times(IDLE_TIMEOUT_FRACTION));
  }

  /** Closes connections that have nothing in flight. */
  public void closeIdle() {
    connections.closeIdle();
  }

  /** The connection that has been idle for longest; null where none is idle. */
  HostConnection longestIdle() {
    return connections.longestIdle();
  }
}
