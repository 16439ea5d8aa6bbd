package flintlead.platform.upstream;

import flintlead.routing.guard.InvocationGuard;
import flintlead.routing.guard.SendVerdict;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import io.netty.buffer.ByteBuf;

/**
 * One request to a host, from when it is passed to its {@link ConnectionPool} until it has ended.
 * Used on the event loop only.
 */
public abstract class Request {

  private final String tag;

  /** An earlier request with the same tag; null if there is none. */
  private final Request previous;

  private RequestState state = RequestState.QUEUED;

  /** The connection that the request was written to; null if it was not written yet. */
  private HostConnection connection;

  private Moment sentAt;
  private int failedConnects;

  /**
   * Creates a request that has not been passed to a pool yet.
   *
   * @param tag identifies the request in the host's response
   * @param previous the last request with the same tag; null if there is none
   */
  protected Request(String tag, Request previous) {
    this.tag = tag;
    this.previous = previous;
  }

  /**
   * Appends the complete command to the buffer. Called again if the request could not be sent after
   * an earlier call.
   */
  protected abstract void write(ByteBuf out);

  /**
   * Delivers the outcome. Called at most once, and never within the call that passed the request to
   * a pool.
   *
   * @param fields fields of the response; {@link ResponseFields#NONE} if there is no response
   * @param body body of the response, valid only until this method returns; null if there is no
   *     response
   */
  protected abstract void ended(Outcome outcome, ResponseFields fields, ByteBuf body);

  /**
   * Whether the request may be sent now.
   *
   * @param deliveredUpTo time up to which all socket events were delivered
   * @param clock the current time
   */
  protected SendVerdict maySend(Moment deliveredUpTo, Moment clock) {
    return InvocationGuard.isRecent(deliveredUpTo, clock)
        ? SendVerdict.SEND
        : SendVerdict.POLL_FIRST;
  }

  /**
   * Called after the request was handed to the kernel.
   *
   * @param clock the time after that
   */
  protected void writtenToSocket(Moment clock) {
    // Only requests on behalf of a client are checked after sending.
  }

  /**
   * Whether the request is new work for the host, which may be sent only while the host's lease is
   * valid.
   */
  protected boolean isNewWork() {
    return false;
  }

  /** Whether the host is sent a cancellation when the request is withdrawn after it was sent. */
  protected boolean isCancellable() {
    return true;
  }

  /** Identifies the request in the host's response. */
  protected final String tag() {
    return tag;
  }

  /** Whether the request has ended or was withdrawn. */
  public final boolean isOver() {
    return state.isFinal();
  }

  /**
   * Whether the request was written to a connection. Until then it is certain that it did not run.
   */
  final boolean wasWritten() {
    return connection != null;
  }

  final HostConnection connection() {
    return connection;
  }

  final Moment sentAt() {
    return sentAt;
  }

  /**
   * Whether an earlier request with the same tag was written to the connection. A duplicate of the
   * response to that request would be taken for the response to this one.
   */
  final boolean tagWasUsedOn(HostConnection other) {
    for (Request earlier = previous; earlier != null; earlier = earlier.previous) {
      if (earlier.connection == other) {
        return true;
      }
    }
    return false;
  }

  /**
   * Adds to the number of connections that failed to open while this request was queued, and
   * returns the sum.
   */
  final int addFailedConnects(int count) {
    failedConnects += count;
    return failedConnects;
  }

  final void sent(HostConnection by, Moment now) {
    become(RequestState.SENT);
    connection = by;
    sentAt = now;
  }

  final void unsettled() {
    become(RequestState.UNSETTLED);
  }

  final void outcomeKnown() {
    become(RequestState.OUTCOME_KNOWN);
  }

  /** Suppresses the outcome. Has no effect if the request has ended already. */
  final void withdrawn() {
    if (!state.isFinal()) {
      become(RequestState.WITHDRAWN);
    }
  }

  /** Delivers the outcome, unless the request has ended or was withdrawn. */
  final void end(Outcome outcome, ResponseFields fields, ByteBuf body) {
    if (!state.isFinal()) {
      become(RequestState.ENDED);
      ended(outcome, fields, body);
    }
  }

  private void become(RequestState next) {
    if (!state.mayBecome(next)) {
      throw new IllegalStateException(
          "request " + tag + ": invalid state transition from " + state + " to " + next);
    }
    state = next;
  }
}
