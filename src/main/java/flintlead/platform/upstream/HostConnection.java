package flintlead.platform.upstream;

import flintlead.routing.guard.SendVerdict;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.PollClock;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One connection to a host and the requests in flight on it. Belongs to the pool that opened it.
 * Used on the event loop only.
 */
final class HostConnection implements StreamListener, HostResponseParser.Listener {

  /**
   * Maximum pause in the middle of a response. Hosts write each response in one piece, so a longer
   * pause means that the response was cut off.
   */
  private static final Span PARTIAL_RESPONSE_TIMEOUT = Span.ofMillis(250);

  private static final int TYPICAL_COMMAND_BYTES = 256;

  /**
   * Responses that no request awaits, for each request that was written: one that comes too late,
   * and a duplicate.
   */
  private static final int UNREQUESTED_PER_REQUEST = 2;

  /** Responses that no request awaits before the first request. */
  private static final int UNREQUESTED_AT_FIRST = 256;

  private final ConnectionPool pool;
  private final HostResponseParser parser;
  private final Map<String, Request> inFlight = new LinkedHashMap<>();
  private ConnectionState state = ConnectionState.CONNECTING;
  private boolean opened;
  private Stream stream;

  /**
   * Set when a request is withdrawn and nothing was received since that request was written;
   * cleared when bytes arrive. No new request is written while it is set.
   */
  private boolean suspect;

  /** Whether no new request is written any more; the connection closes after its last response. */
  private boolean draining;

  private Moment lastUsedAt;
  private Moment lastReceivedAt;

  /** Responses that no request awaits which the host may still send. */
  private int unrequestedAllowed = UNREQUESTED_AT_FIRST;

  HostConnection(ConnectionPool pool) {
    this.pool = pool;
    this.parser = new HostResponseParser(pool.pools().limits().maxResponseBytes(), this);
    this.lastUsedAt = pool.now();
    this.lastReceivedAt = lastUsedAt;
  }

  /** Sets the connection's stream, before the stream's first event. */
  void attach(Stream connecting) {
    stream = connecting;
  }

  boolean isOpen() {
    return state == ConnectionState.OPEN;
  }

  boolean isConnecting() {
    return state == ConnectionState.CONNECTING;
  }

  /** Whether the connection has ever been open, even if it is closed now. */
  boolean hasOpened() {
    return opened;
  }

  /** Whether the connection is open, with no request in flight and no partial response. */
  boolean isIdle() {
    return isOpen() && inFlight.isEmpty() && !parser.hasPartialResponse();
  }

  /** Whether any new request may be written to this connection. */
  boolean acceptsRequests() {
    return isOpen()
        && !suspect
        && !draining
        && !parser.hasPartialResponse()
        && inFlight.size() < pool.pools().limits().maxRequestsPerConnection()
        && stream.pendingBytes() == 0;
  }

  /**
   * Whether this request may be written to this connection. Its tag must be new to the connection.
   */
  boolean accepts(Request request) {
    return acceptsRequests() && !inFlight.containsKey(request.tag()) && !request.tagWasUsedOn(this);
  }

  /** Number of requests in flight. */
  int inFlightCount() {
    return inFlight.size();
  }

  /** When a request or command was last written or a request was last answered. */
  Moment lastUsedAt() {
    return lastUsedAt;
  }

  /** Whether the send buffer contains unsent bytes. */
  boolean hasUnsentBytes() {
    return isOpen() && stream.pendingBytes() > 0;
  }

  /**
   * Writes the request if it may be sent, and hands it to the kernel before anything else happens,
   * so that the checked conditions still hold. The response arrives on this connection.
   *
   * @return {@code SEND} if the request was written; otherwise the reason why nothing was written
   */
  SendVerdict send(Request request, PollClock polls) {
    ByteBuf bytes = Unpooled.buffer(TYPICAL_COMMAND_BYTES);
    request.write(bytes);
    // Everything that takes time is done before this check, so that the system call follows at
    // once.
    Moment clock = polls.readClock();
    SendVerdict verdict = request.maySend(polls.deliveredUpTo(), clock);
    if (verdict == SendVerdict.SEND && request.isNewWork()) {
      verdict = pool.leaseRenewal().maySend(clock);
    }
    if (verdict != SendVerdict.SEND) {
      return verdict;
    }
    stream.write(bytes);
    stream.flush();
    lastUsedAt = pool.now();
    unrequestedAllowed += UNREQUESTED_PER_REQUEST;
    request.sent(this, lastUsedAt);
    inFlight.put(request.tag(), request);
    request.writtenToSocket(polls.readClock());
    if (request.isNewWork()) {
      pool.leaseRenewal().sent(request.tag(), polls.readClock());
    }
    return verdict;
  }

  /** Writes a command that has no response. */
  void sendCommand(String line) {
    lastUsedAt = pool.now();
    ByteBuf bytes = Unpooled.buffer(line.length() + 2);
    HostProtocol.writeLine(bytes, line);
    stream.write(bytes);
  }

  /**
   * Stops waiting for a response and sends the host a cancellation if the request is cancellable.
   * If nothing was received since the request was written, no new request is written to this
   * connection.
   */
  void cancel(Request request) {
    if (inFlight.remove(request.tag()) == null || state == ConnectionState.CLOSED) {
      return;
    }
    if (request.isCancellable()) {
      sendCommand(HostProtocol.cancelCommand(request.tag()));
    }
    if (!lastReceivedAt.isAfter(request.sentAt())) {
      suspect = true;
    }
    closeIfDone();
  }

  /** Writes no new requests from now on and closes the connection after the last response. */
  void drain() {
    draining = true;
    closeIfDone();
  }

  private void closeIfDone() {
    if ((draining || suspect) && inFlight.isEmpty() && state != ConnectionState.CLOSED) {
      if (suspect || stream.pendingBytes() > 0 || isConnecting()) {
        end(CloseReason.CLOSED_LOCALLY);
      } else {
        close();
      }
    }
  }

  /** Closes an idle connection once all written bytes were sent. */
  void close() {
    if (state != ConnectionState.CLOSED) {
      become(ConnectionState.CLOSED);
      parser.end();
      pool.pools().recordPartialResponse(this, 0);
      stream.close();
      pool.closed(this, List.of(), CloseReason.CLOSED_LOCALLY);
    }
  }

  /** Aborts a connection that has not opened in time. */
  void connectTimedOut() {
    if (isConnecting()) {
      end(CloseReason.CONNECT_TIMED_OUT);
    }
  }

  /** Aborts the connection, so that the bytes in its send buffer do not reach the host. */
  void discardUnsentBytes() {
    end(CloseReason.BROKEN);
  }

  /** Ends the connection if a response was cut off in the middle. */
  void checkPartialResponse(Moment now) {
    if (isOpen()
        && parser.hasPartialResponse()
        && now.since(lastReceivedAt).isLongerThan(PARTIAL_RESPONSE_TIMEOUT)) {
      end(CloseReason.MALFORMED_RESPONSE);
    }
  }

  /**
   * Ends the connection because the partial responses of all hosts occupy too much memory. What it
   * was to answer may have run.
   */
  void discardPartialResponse() {
    malformed("partial responses of all hosts exceed their memory");
  }

  private void end(CloseReason reason) {
    if (state == ConnectionState.CLOSED) {
      return;
    }
    become(ConnectionState.CLOSED);
    parser.end();
    pool.pools().recordPartialResponse(this, 0);
    stream.abort();
    List<Request> unanswered = new ArrayList<>(inFlight.values());
    inFlight.clear();
    pool.closed(this, unanswered, reason);
  }

  private void become(ConnectionState next) {
    if (!state.mayBecome(next)) {
      throw new IllegalStateException(
          "connection: invalid state transition from " + state + " to " + next);
    }
    state = next;
  }

  // ---- events of the stream ----

  @Override
  public void opened() {
    if (isConnecting()) {
      become(ConnectionState.OPEN);
      opened = true;
      pool.opened(this);
    }
  }

  @Override
  public void received(ByteBuf bytes) {
    lastReceivedAt = pool.now();
    suspect = false;
    parser.feed(bytes);
    if (state != ConnectionState.CLOSED) {
      pool.received();
    }
    pool.pools().recordPartialResponse(this, parser.heldBytes());
  }

  @Override
  public void flushed() {
    if (state != ConnectionState.CLOSED) {
      pool.sendBufferDrained();
    }
  }

  @Override
  public void closed(String error) {
    end(CloseReason.of(error, opened));
  }

  // ---- events of the parser ----

  @Override
  public void response(String tag, String status, ResponseFields fields, ByteBuf body) {
    Outcome outcome = HostProtocol.outcomeOf(status);
    if (outcome == null) {
      malformed("response with an unknown status word");
      return;
    }
    Request request = inFlight.remove(tag);
    if (request == null) {
      unrequestedResponse();
    } else {
      lastUsedAt = pool.now();
      if (request.isNewWork()) {
        pool.leaseRenewal().answered(outcome, request.sentAt());
      }
      request.end(outcome, fields, body);
      closeIfDone();
    }
  }

  /**
   * Ignores a response with an unknown tag, or a duplicate: it is well-formed, so the responses
   * after it on this connection can still be parsed. A host that goes on with them keeps those that
   * are awaited behind them.
   */
  private void unrequestedResponse() {
    pool.pools().countUnrequestedResponse();
    unrequestedAllowed--;
    if (unrequestedAllowed < 0) {
      malformed("more responses than the requests on the connection explain");
    }
  }

  @Override
  public void malformed(String reason) {
    pool.pools().logMalformedResponse(pool.hostName(), reason);
    end(CloseReason.MALFORMED_RESPONSE);
  }
}
