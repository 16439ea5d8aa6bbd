package flintlead.platform.downstream;

import flintlead.routing.admission.ConnectionLimiter;
import flintlead.routing.admission.SharedByteLimit;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.http.ResponseWriter;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.IsolatedLoop;
import flintlead.transport.loop.PollClock;
import flintlead.transport.loop.RepeatingTask;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.loop.Transport;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;

/**
 * The HTTP server for clients: its listening socket and the accepted connections. Used on the event
 * loop only, unless a method states otherwise.
 */
public final class HttpFront {

  private static final Span TIMEOUT_CHECK_INTERVAL = Span.ofMillis(100);

  /**
   * Connections that were opened or used more recently than this are not closed as idle: a request
   * may be in transit on them.
   */
  private static final Span MIN_IDLE_BEFORE_CLOSE = Span.ofMillis(150);

  /** Maximum number of attempts to bind the address, made {@link #LISTEN_RETRY_NANOS} apart. */
  private static final int MAX_LISTEN_ATTEMPTS = 40;

  private static final long LISTEN_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /**
   * Maximum number of refused connections that wait for their first bytes; beyond it, the oldest is
   * closed.
   */
  private static final int MAX_REFUSED_CONNECTIONS = 16;

  /** How long a refused connection may stay open without sending anything. */
  private static final Span REFUSED_TIMEOUT = Span.ofMillis(2_300);

  private final EventExecutor loop;
  private final Transport transport;
  private final InvocationHandler handler;
  private final InvocationRequestParser parser;
  private final ConnectionLimiter<ClientConnection> limiter;
  private final SharedByteLimit<ClientConnection> received;
  private final SharedByteLimit<ClientConnection> unread;
  private final ResponseWriter responseWriter = new ResponseWriter();
  private final Logger log;
  private final Events events;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();
  private final Set<RefusedConnection> refused = new LinkedHashSet<>();
  private Transport.ListeningSocket listening;
  private boolean draining;
  private RepeatingTask timeoutChecks;

  /** Accepted streams that are not yet closed in both directions. */
  private int openStreams;

  /**
   * Limits of the client connections.
   *
   * @param connections connections that may be open at once
   * @param receivedBytes bytes of requests received in part that all connections may keep together
   * @param unreadBytes bytes of responses that clients have not read, over all connections
   */
  public record Limits(int connections, long receivedBytes, long unreadBytes) {}

  /** Receives notifications of closed connections. */
  public interface Events {

    /** The gateway closed or refused a connection. */
    void connectionClosed(CloseCause cause);

    /** A client closed its connection. */
    void closedByClient();

    /** A request that invokes nothing, or is refused before it does, gets this HTTP status. */
    default void answeredWithoutInvocation(int status) {}

    /** A request was refused before all of it was received, for want of memory. */
    void partialRequestRefused();
  }

  /**
   * Creates a front that does not listen yet.
   *
   * @param handler handles the invocations
   * @param limits limits of the client connections
   * @param events notified of closed connections
   * @param log receives {@code client_connection_failed} and {@code listen_failed}
   */
  public HttpFront(
      EventExecutor loop,
      Transport transport,
      InvocationHandler handler,
      InvocationRequestParser parser,
      Limits limits,
      Events events,
      Logger log) {
    this.loop = loop;
    this.transport = transport;
    this.handler = handler;
    this.parser = parser;
    this.limiter = new ConnectionLimiter<>(limits.connections(), MIN_IDLE_BEFORE_CLOSE);
    this.received = new SharedByteLimit<>(limits.receivedBytes());
    this.unread = new SharedByteLimit<>(limits.unreadBytes());
    this.events = events;
    this.log = log;
  }

  /**
   * Starts listening. Must not be called on the event loop, because it blocks until the address is
   * bound.
   *
   * @return the bound address
   * @throws IOException if the address still cannot be bound after several seconds
   */
  public Address listen(Address address) throws IOException {
    listening = listenWithRetries(address);
    loop.execute(
        () ->
            timeoutChecks = RepeatingTask.start(loop, TIMEOUT_CHECK_INTERVAL, this::checkTimeouts));
    return listening.address();
  }

  /**
   * Retries because the previous process may still hold the address, or creating a socket may fail
   * temporarily.
   */
  private Transport.ListeningSocket listenWithRetries(Address address) throws IOException {
    for (int attempt = 1; ; attempt++) {
      try {
        return transport.listen(address, this::accept);
      } catch (IOException e) {
        if (attempt == MAX_LISTEN_ATTEMPTS) {
          throw e;
        }
        log.atWarn().addKeyValue("error", e.getMessage()).log("listen_failed");
        LockSupport.parkNanos(LISTEN_RETRY_NANOS);
      }
    }
  }

  private StreamListener accept(Stream stream) {
    Moment now = loop.now();
    openStreams++;
    ConnectionLimiter<ClientConnection>.TrackedConnection idle = limiter.evictionCandidate(now);
    boolean hasRoom = idle == null || idle.connection().closeIfIdle(CloseCause.EVICTED);
    if (!hasRoom || !limiter.canAccept(now)) {
      return refuse(stream);
    }
    ClientConnection connection = new ClientConnection(this, stream);
    connections.add(connection);
    return connection;
  }

  private StreamListener refuse(Stream stream) {
    reportClosed(CloseCause.REFUSED);
    RefusedConnection connection = new RefusedConnection(this, stream);
    refused.add(connection);
    if (refused.size() > MAX_REFUSED_CONNECTIONS) {
      refused.iterator().next().closeIfSilent();
    }
    connection.setCancelTimeout(loop.scheduleAfter(REFUSED_TIMEOUT, connection::closeIfSilent));
    return connection;
  }

  private void checkTimeouts() {
    Moment now = loop.now();
    IsolatedLoop.forEach(connections, connection -> connection.checkTimeouts(now), this::logFault);
  }

  /**
   * From now on, each connection closes after its next response. Idle connections stay open and new
   * ones are accepted, because a request may be in transit on them.
   */
  public void beginDraining() {
    draining = true;
  }

  /**
   * Whether no request is being received or in flight, and all responses have been handed to the
   * kernel.
   */
  public boolean isQuiet() {
    return connections.stream().allMatch(ClientConnection::isQuiet);
  }

  /**
   * Closes the connections on which no request is in flight or may be in transit. Those that were
   * opened or used very recently stay open.
   */
  public void closeIdle() {
    Moment now = loop.now();
    IsolatedLoop.forEach(
        connections,
        connection -> {
          if (connection.isIdleFor(MIN_IDLE_BEFORE_CLOSE, now)) {
            connection.closeIfIdle(CloseCause.SHUTDOWN);
          }
        },
        this::logFault);
  }

  /** Whether no connection is left on which a request could arrive. */
  public boolean hasNoConnections() {
    return connections.isEmpty() && refused.isEmpty();
  }

  /**
   * Whether no connection is left, including those that wait for their client to receive its last
   * response.
   */
  public boolean isEmpty() {
    return openStreams == 0;
  }

  /**
   * Closes the listening socket and all client connections with that cause, without waiting for
   * requests.
   */
  public void close(CloseCause cause) {
    if (timeoutChecks != null) {
      timeoutChecks.cancel();
    }
    draining = true;
    if (listening != null) {
      listening.close();
    }
    IsolatedLoop.forEach(connections, connection -> connection.close(cause), this::logFault);
  }

  // ---- called by the connections ----

  Moment now() {
    return loop.now();
  }

  InvocationHandler handler() {
    return handler;
  }

  InvocationRequestParser parser() {
    return parser;
  }

  ConnectionLimiter<ClientConnection> limiter() {
    return limiter;
  }

  ResponseWriter responseWriter() {
    return responseWriter;
  }

  /**
   * Records the memory that a partial request of the connection occupies. Above the limit, the
   * partial requests that began first are refused: usual clients send a request at once.
   */
  void recordReceived(ClientConnection connection, int bytes) {
    received.record(connection, bytes);
    while (received.isExceeded()) {
      events.partialRequestRefused();
      received.longestHolder().refusePartialRequest();
    }
  }

  /**
   * Records the bytes of responses that the connection's client has not read. Above the limit, the
   * connections whose clients have left some unread for the longest time are closed.
   */
  void recordUnread(ClientConnection connection, long bytes) {
    unread.record(connection, bytes);
    while (unread.isExceeded()) {
      ClientConnection longest = unread.longestHolder();
      unread.record(longest, 0);
      longest.discardUnread();
    }
  }

  /** Whether each connection closes after its next response. */
  boolean isDraining() {
    return draining;
  }

  void logFault(RuntimeException cause) {
    log.atError().addKeyValue("error", cause).setCause(cause).log("client_connection_failed");
  }

  void connectionClosed(ClientConnection connection) {
    connections.remove(connection);
  }

  void refusedConnectionEnded(RefusedConnection connection) {
    refused.remove(connection);
  }

  /** Called when a stream has closed in both directions. */
  void streamClosed() {
    openStreams--;
  }

  /** Reports that the gateway closed or refused a connection. */
  void reportClosed(CloseCause cause) {
    events.connectionClosed(cause);
  }

  /** Reports that a client closed its connection. */
  void closedByClient() {
    events.closedByClient();
  }

  /** Reports the HTTP status of a request that invokes nothing. */
  void answeredWithoutInvocation(int status) {
    events.answeredWithoutInvocation(status);
  }

  PollClock polls() {
    return loop.polls();
  }
}
