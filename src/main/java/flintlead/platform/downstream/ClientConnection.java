package flintlead.platform.downstream;

import flintlead.routing.admission.ConnectionLimiter;
import flintlead.routing.guard.InvocationGuard;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.http.RequestDecoder;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A client's HTTP connection, which carries one invocation at a time. Used on the event loop only.
 */
final class ClientConnection
    implements StreamListener, RequestDecoder.RequestHandler, InvocationHandler.ResponseCallback {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int CONFLICT = 409;
  private static final int INTERNAL_ERROR = 500;
  private static final int UNAVAILABLE = 503;
  private static final int NO_STATUS = 0;

  private static final int MAX_REQUEST_BODY_BYTES = 16 * 1024;

  static final String RETRY_AFTER_MILLIS = "X-Throttle-Ms";
  private static final String HEALTH_CHECK_PATH = "/ping";

  private final HttpFront front;
  private final Stream stream;
  private final RequestDecoder decoder = new RequestDecoder(MAX_REQUEST_BODY_BYTES, this);
  private final ConnectionLimiter<ClientConnection>.TrackedConnection tracked;
  private final ClientTimeouts timeouts;
  private ClientState state = ClientState.READY;

  /** Id of the invocation in flight; valid only in state {@link ClientState#BUSY}. */
  private long invocationId;

  /** Whether the most recent request allows the connection to be kept open. */
  private boolean keepAlive;

  /**
   * Requests sent while an invocation was in flight. Each of them is refused after the response to
   * the invocation, also if it is read after that. At their limit no more input is read, and the
   * connection closes after the last refusal.
   */
  private final PipelinedRequests pipelined = new PipelinedRequests();

  /** Whether input is being decoded: the responses to it are handed to the kernel together. */
  private boolean decoding;

  /** Set when no more input is read; the connection closes after the responses to what was read. */
  private boolean inputEnded;

  /** HTTP status with which malformed input received while busy is refused; 0 if there was none. */
  private int rejectedStatus = NO_STATUS;

  ClientConnection(HttpFront front, Stream stream) {
    this.front = front;
    this.stream = stream;
    Moment now = front.now();
    this.timeouts = new ClientTimeouts(now);
    this.tracked = front.limiter().add(this, now);
  }

  // ---- stream events ----

  @Override
  public void received(ByteBuf bytes) {
    if (isClosed() || inputEnded) {
      return;
    }
    decoding = true;
    try {
      decoder.feed(bytes);
    } catch (RuntimeException e) {
      // A failure caused by a client's input closes only the connection of that client.
      front.logFault(e);
      abort(CloseCause.FAULT);
    }
    decoding = false;
    if (!isClosed()) {
      flushResponses();
    }
    if (!isClosed()) {
      timeouts.received(decoder.hasPartialRequest(), front.now());
      front.recordReceived(this, inputEnded ? 0 : decoder.heldBytes());
    }
  }

  /**
   * Refuses the request that has been received in part, because the partial requests of all
   * connections occupy too much memory. Nothing more is read from the connection.
   */
  void refusePartialRequest() {
    decoder.release();
    front.recordReceived(this, 0);
    inputEnded = true;
    if (state == ClientState.BUSY) {
      // Refused after the response to the invocation in flight.
      rejectedStatus = UNAVAILABLE;
      return;
    }
    keepAlive = false;
    respondUnavailable(front.handler().retryAfter().micros() / 1000);
  }

  @Override
  public void closed(String error) {
    if (releaseResources()) {
      front.closedByClient();
    }
    front.recordUnread(this, 0);
    front.streamClosed();
  }

  @Override
  public void flushed() {
    front.recordUnread(this, stream.pendingBytes());
  }

  // ---- requests ----

  @Override
  public void request(HttpRequest head, ByteBuf body) {
    if (isClosed() || inputEnded) {
      return;
    }
    timeouts.requestRead(front.now());
    if (state == ClientState.BUSY || pipelined.includesInputSince(stream.quietAt())) {
      refusePipelined(state == ClientState.BUSY);
      return;
    }
    pipelined.reset();
    keepAlive = HttpUtil.isKeepAlive(head);
    if (head.method().equals(HttpMethod.POST)) {
      invoke(head, body);
    } else if (!head.method().equals(HttpMethod.GET)) {
      respond(METHOD_NOT_ALLOWED);
    } else {
      respond(head.uri().equals(HEALTH_CHECK_PATH) ? OK : NOT_FOUND);
    }
  }

  private void refusePipelined(boolean afterResponse) {
    front.answeredWithoutInvocation(UNAVAILABLE);
    pipelined.add(afterResponse);
    inputEnded = pipelined.isFull();
    if (!afterResponse) {
      respondUnavailable(front.handler().retryAfter().micros() / 1000);
    }
  }

  private void invoke(HttpRequest head, ByteBuf body) {
    InvocationHandler.Invocation request;
    try {
      request = front.parser().parse(head);
    } catch (InvalidRequestException e) {
      respond(e.status());
      return;
    }
    if (front.handler().isRepeat(request)) {
      respond(CONFLICT);
      return;
    }
    become(ClientState.BUSY);
    invocationId = request.id();
    front.limiter().setBusy(tracked, true, front.now());
    front.handler().submit(request, body, stream.earliestArrival(), this);
  }

  @Override
  public void rejected(int status, String reason) {
    inputEnded = true;
    if (state == ClientState.BUSY) {
      // Refused after the response to the invocation in flight.
      rejectedStatus = status;
      return;
    }
    keepAlive = false;
    respond(status);
  }

  // ---- response to the invocation ----

  @Override
  public void succeeded(ByteBuf body) {
    invocationEnded();
    respond(OK, body);
    refuseAwaiting();
  }

  @Override
  public void throttled(Span retryIn) {
    invocationEnded();
    respondUnavailable((retryIn.micros() + 999) / 1000);
    refuseAwaiting();
  }

  @Override
  public void errored() {
    invocationEnded();
    respond(INTERNAL_ERROR, Unpooled.EMPTY_BUFFER);
    refuseAwaiting();
  }

  private void invocationEnded() {
    pipelined.invocationAnswered(stream.hasUnread() && !decoding, front.polls().readClock());
    become(ClientState.READY);
    front.limiter().setBusy(tracked, false, front.now());
  }

  @Override
  public Moment seenOpenAt() {
    return stream.quietAt();
  }

  private void refuseAwaiting() {
    while (pipelined.awaitRefusal() && !isClosed()) {
      pipelined.refused();
      respondUnavailable(front.handler().retryAfter().micros() / 1000);
    }
    if (rejectedStatus != NO_STATUS && !isClosed()) {
      int status = rejectedStatus;
      rejectedStatus = NO_STATUS;
      respond(status);
    }
  }

  /** Whether requests or malformed input received while busy have not been refused yet. */
  private boolean hasPendingRefusals() {
    return pipelined.awaitRefusal() || rejectedStatus != NO_STATUS;
  }

  private void respond(int status) {
    front.answeredWithoutInvocation(status);
    respond(status, Unpooled.EMPTY_BUFFER);
  }

  private void respond(int status, ByteBuf body) {
    write(status, body, null, 0);
  }

  private void respondUnavailable(long retryAfterMillis) {
    write(UNAVAILABLE, Unpooled.EMPTY_BUFFER, RETRY_AFTER_MILLIS, retryAfterMillis);
  }

  private void write(int status, ByteBuf body, String header, long value) {
    if (isClosed()) {
      return;
    }
    timeouts.responseWritten(front.now());
    boolean last = !hasPendingRefusals() && (!keepAlive || inputEnded || front.isDraining());
    stream.write(front.responseWriter().encode(status, body, last, header, value));
    if (last || !decoding) {
      flushResponses();
    }
    if (last && releaseResources()) {
      front.reportClosed(CloseCause.LAST_RESPONSE);
      stream.closeGracefully();
    }
  }

  /** Hands the responses to the kernel: what then remains is what the client does not read. */
  private void flushResponses() {
    stream.flush();
    front.recordUnread(this, stream.pendingBytes());
  }

  // ---- timeouts and closing ----

  /** Closes the connection, or responds with status 408, if a timeout has expired. */
  void checkTimeouts(Moment now) {
    if (isClosed()) {
      return;
    }
    switch (timeouts.check(now, stream.pendingBytes(), state == ClientState.BUSY)) {
      case RESPONSE_UNREAD -> abort(CloseCause.RESPONSE_UNREAD);
      case REQUEST_INCOMPLETE -> {
        keepAlive = false;
        respond(REQUEST_TIMEOUT);
      }
      case IDLE -> closeIfIdle(CloseCause.IDLE);
      default -> {
        // Nothing is due.
      }
    }
  }

  /**
   * Whether the connection is open, no request is being received or in flight, and all responses
   * have been handed to the kernel.
   */
  boolean isQuiet() {
    return state == ClientState.READY
        && !timeouts.hasPartialRequest()
        && stream.pendingBytes() == 0;
  }

  /**
   * Whether the connection has waited for a request for longer than the span, so that none is
   * assumed to be in transit.
   */
  boolean isIdleFor(Span span, Moment now) {
    return state == ClientState.READY && now.since(timeouts.waitingSince()).isLongerThan(span);
  }

  /**
   * Closes the connection unless a request is in flight or waits unread in the socket. If the
   * socket was not polled recently enough to know, the check is repeated after the next poll.
   *
   * @return whether this call closed the connection
   */
  boolean closeIfIdle(CloseCause cause) {
    if (state != ClientState.READY || stream.pendingBytes() > 0) {
      return false;
    }
    boolean seen = InvocationGuard.isRecent(stream.quietAt(), front.polls().readClock());
    if (seen) {
      close(cause);
    } else {
      front.polls().afterNextPoll(() -> closeIfIdle(cause));
    }
    return seen;
  }

  /** Closes the connection after all written bytes have been handed to the kernel. */
  void close(CloseCause cause) {
    reportUnanswered(cause);
    if (releaseResources()) {
      front.reportClosed(cause);
      stream.close();
    }
  }

  private void abort(CloseCause cause) {
    reportUnanswered(cause);
    if (releaseResources()) {
      front.reportClosed(cause);
      stream.abort();
    }
  }

  /**
   * Closes the connection at once, because the unread responses of all connections occupy too much
   * memory. It may already wait for its last response to be read.
   */
  void discardUnread() {
    if (isClosed()) {
      stream.abort();
    } else {
      abort(CloseCause.RESPONSE_UNREAD);
    }
  }

  private void reportUnanswered(CloseCause cause) {
    if (state == ClientState.BUSY && !cause.mayLeaveUnanswered()) {
      front.handler().closedUnanswered(invocationId, cause);
    }
  }

  /**
   * Marks the connection as closed and releases its resources; returns false if it was closed
   * before.
   */
  private boolean releaseResources() {
    if (isClosed()) {
      return false;
    }
    boolean busy = state == ClientState.BUSY;
    become(ClientState.CLOSED);
    front.limiter().remove(tracked);
    front.recordReceived(this, 0);
    front.connectionClosed(this);
    if (busy) {
      front.handler().clientDisconnected(invocationId);
    }
    decoder.release();
    return true;
  }

  private boolean isClosed() {
    return state == ClientState.CLOSED;
  }

  private void become(ClientState next) {
    if (!state.mayBecome(next)) {
      throw new IllegalStateException(
          "client connection cannot change state from " + state + " to " + next);
    }
    state = next;
  }
}
