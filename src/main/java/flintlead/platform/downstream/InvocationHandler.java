package flintlead.platform.downstream;

import flintlead.scheduling.api.InvocationSpec;
import flintlead.time.Moment;
import flintlead.time.Span;
import io.netty.buffer.ByteBuf;

/** Handles the invocations that the HTTP front receives. Called on the event loop only. */
public interface InvocationHandler {

  /**
   * Receives the response to one invocation: exactly one of the response methods is called, once,
   * unless the client disconnects first.
   */
  interface ResponseCallback {

    /** The invocation succeeded; the body is valid only until this returns. */
    void succeeded(ByteBuf body);

    /** The invocation did not run; the client may retry after the span. */
    void throttled(Span retryIn);

    /** The invocation failed, or may have run without a response. */
    void errored();

    /** The latest time at which the client's connection is known to have been open. */
    Moment seenOpenAt();
  }

  /**
   * Whether an invocation with the same id is in progress, or may have run and must not run again.
   */
  boolean isRepeat(Invocation invocation);

  /**
   * Accepts the invocation, or throttles it at once.
   *
   * @param body valid only until this returns
   * @param earliestArrival the earliest time at which the request may have arrived; the client's
   *     timeout counts from it
   */
  void submit(Invocation invocation, ByteBuf body, Moment earliestArrival, ResponseCallback client);

  /** Called when the client has closed its connection: no response is expected any more. */
  void clientDisconnected(long invocation);

  /**
   * Called before the gateway closes the connection of an invocation that has no response, through
   * no fault of its client. This is an invariant violation; {@link #clientDisconnected} is called
   * next.
   */
  void closedUnanswered(long invocation, CloseCause cause);

  /** How long a client whose request is refused unread should wait before it retries. */
  Span retryAfter();

  /**
   * An invocation as its client sent it.
   *
   * @param id {@code idText} as a number
   * @param idText the id as the client wrote it
   * @param functionText the function as the client wrote it
   * @param spec the invocation's description for the scheduler
   * @param idempotencyKey passed on to hosts unchanged; null if the client sent none
   */
  record Invocation(
      long id, String idText, String functionText, InvocationSpec spec, String idempotencyKey) {}
}
