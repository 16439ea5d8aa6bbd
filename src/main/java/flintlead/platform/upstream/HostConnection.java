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
 * One connection to a host and the requests in flight on it. It belongs to the pool it was opened
 * for and ends with it. Used on the event loop only.
 */
final class HostConnection implements StreamListener, HostResponseParser.Listener {

  /**
   * How long a response that has begun may stop before the connection is taken for cut off: hosts
   * write responses in one piece.
   */
  private static final Span PARTIAL_RESPONSE_TIMEOUT = Span.ofMillis(250);

  private static final int TYPICAL_COMMAND_BYTES = 256;

  private final ConnectionPool pool;
  private final HostResponseParser parser;
  private final Map<String, Request> inFlight = new LinkedHashMap<>();
  private ConnectionState state = ConnectionState.CONNECTING;
  private boolean opened;
  private Stream stream;

  /** The last request was withdrawn and nothing was received since: no new request is written. */
  private boolean suspect;

  /** No new request is written; ends with its last response. */
  private boolean draining;

  private Moment lastUsedAt;
  private Moment lastReceivedAt;

  HostConnection(ConnectionPool pool) {
    this.pool = pool;
    this.parser = new HostResponseParser(pool.limits().maxResponseBytes(), this);
    this.lastUsedAt = pool.now();
    this.lastReceivedAt = lastUsedAt;
  }

  /** Gives the connection its stream, before the first event of the stream. */
  void attach(Stream connecting) {
    stream = connecting;
  }

  boolean isOpen() {
    return state == ConnectionState.OPEN;
  }

  boolean isConnecting() {
    return state == ConnectionState.CONNECTING;
  }

  /** Whether it opened at some time, also where it is closed now. */
  boolean hasOpened() {
    return opened;
  }

  /** Whether it is open with no request in flight and no partial response. */
  boolean isIdle() {
    return isOpen() && inFlight.isEmpty() && !parser.hasPartialResponse();
  }

  /** Whether a new request may be written to it. */
  boolean acceptsRequests() {
    return isOpen()
        && !suspect
        && !draining
        && !parser.hasPartialResponse()
        && inFlight.size() < pool.limits().maxRequestsPerConnection()
        && stream.pendingBytes() == 0;
  }

  /** Whether this request may be written to it. */
  boolean accepts(Request request) {
    return acceptsRequests() && !inFlight.containsKey(request.tag()) && !request.tagWasUsedOn(this);
  }

  /** Requests in flight. */
  int load() {
    return inFlight.size();
  }

  /** When a request was last written or answered. */
  Moment lastUsedAt() {
    return lastUsedAt;
  }

  /** Whether bytes wait in the send buffer. */
  boolean hasUnsentBytes() {
    return isOpen() && stream.pendingBytes() > 0;
  }

  /**
   * Writes the request if it may leave, and hands it to the kernel before anything else happens, so
   * that what was checked for it still holds; its response comes on this connection.
   *
   * @return whether it may leave; nothing was written where it may not
   */
  SendVerdict send(Request request, PollClock polls) {
    ByteBuf bytes = Unpooled.buffer(TYPICAL_COMMAND_BYTES);
    request.write(bytes);
    // After all that takes time: between this check and the system call nothing else is done.
    Moment clock = polls.readClock();
    SendVerdict verdict = request.maySend(polls.deliveredUpTo(), clock);
    if (verdict == SendVerdict.SEND && request.isNewWork()) {
      verdict = pool.proof().maySend(clock);
    }
    if (verdict != SendVerdict.SEND) {
      return verdict;
    }
    stream.write(bytes);
    stream.flush();
    lastUsedAt = pool.now();
    request.sent(this, lastUsedAt);
    inFlight.put(request.tag(), request);
    request.handedOver(polls.readClock());
    if (request.isNewWork()) {
      pool.proof().sent(request.tag(), polls.readClock());
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
   * Stops waiting for a response and sends the host a cancellation. A connection that has been
   * silent since the request was written gets no new request.
   */
  void cancel(Request request) {
    if (inFlight.remove(request.tag()) == null || state == ConnectionState.CLOSED) {
      return;
    }
    if (request.isCancellable()) {
      sendCommand(HostProtocol.cancel(request.tag()));
    }
    if (!lastReceivedAt.isAfter(request.sentAt())) {
      suspect = true;
    }
    closeIfDone();
  }

  /** No new request is written; closes after the last response. */
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

  /** Closes an idle connection after what was written has left. */
  void close() {
    if (state != ConnectionState.CLOSED) {
      become(ConnectionState.CLOSED);
      parser.end();
      stream.close();
      pool.closed(this, List.of(), CloseReason.CLOSED_LOCALLY);
    }
  }

  /** Gives up a connection that has not opened in time. */
  void connectTimedOut() {
    if (isConnecting()) {
      end(CloseReason.CONNECT_FAILED);
    }
  }

  /** Breaks the connection off: what is in its send buffer must not arrive any more. */
  void discardUnsentBytes() {
    end(CloseReason.BROKEN);
  }

  /** Ends the connection where a response was cut off in the middle. */
  void checkPartialResponse(Moment now) {
    if (isOpen()
        && parser.hasPartialResponse()
        && now.since(lastReceivedAt).isLongerThan(PARTIAL_RESPONSE_TIMEOUT)) {
      end(CloseReason.MALFORMED_RESPONSE);
    }
  }

  private void end(CloseReason reason) {
    if (state == ConnectionState.CLOSED) {
      return;
    }
    become(ConnectionState.CLOSED);
    parser.end();
    stream.abort();
    List<Request> unanswered = new ArrayList<>(inFlight.values());
    inFlight.clear();
    pool.closed(this, unanswered, reason);
  }

  private void become(ConnectionState next) {
    if (!state.mayBecome(next)) {
      throw new IllegalStateException("connection can't go from " + state + " to " + next);
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
      malformed("an unknown status");
      return;
    }
    // A response under an unknown tag, or a duplicate, is ignored: the other responses on this
    // connection are still complete.
    Request request = inFlight.remove(tag);
    if (request != null) {
      lastUsedAt = pool.now();
      if (request.isNewWork()) {
        pool.proof().answered(outcome, request.sentAt());
      }
      request.end(outcome, fields, body);
      closeIfDone();
    }
  }

  @Override
  public void malformed(String reason) {
    pool.logMalformedResponse(reason);
    end(CloseReason.MALFORMED_RESPONSE);
  }
}
