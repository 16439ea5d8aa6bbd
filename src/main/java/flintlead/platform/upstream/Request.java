package flintlead.platform.upstream;

import flintlead.routing.guard.InvocationGuard;
import flintlead.routing.guard.SendVerdict;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import io.netty.buffer.ByteBuf;

/**
 * One request to a host, from being handed to its {@link ConnectionPool} until it has ended. Used
 * on the event loop only.
 */
public abstract class Request {

  private final String tag;

  /** An earlier request under the same tag; null where there is none. */
  private final Request previous;

  private RequestState state = RequestState.QUEUED;

  /** The connection it was written to; null while nothing of it has left. */
  private HostConnection connection;

  private Moment sentAt;
  private int failedConnects;

  /**
   * Creates a request that has not been handed to a pool yet.
   *
   * @param tag the word under which the host answers
   * @param previous the last request under the same tag; null for the first
   */
  protected Request(String tag, Request previous) {
    this.tag = tag;
    this.previous = previous;
  }

  /**
   * Appends the complete command to the buffer. Called once, when a connection takes the request.
   */
  protected abstract void write(ByteBuf out);

  /**
   * Delivers the outcome; never called within the call that started the request, and at most once.
   *
   * @param fields of the response; {@link ResponseFields#DEFAULT} where there is none
   * @param body of the response, valid only until this returns; null where there is none
   */
  protected abstract void ended(Outcome outcome, ResponseFields fields, ByteBuf body);

  /**
   * Whether the request may leave now.
   *
   * @param deliveredUpTo up to when the events of all sockets were delivered
   * @param clock the present time
   */
  protected SendVerdict maySend(Moment deliveredUpTo, Moment clock) {
    return InvocationGuard.isRecent(deliveredUpTo, clock)
        ? SendVerdict.SEND
        : SendVerdict.LOOK_FIRST;
  }

  /** The request was handed to the kernel, at this time at the latest. */
  protected void handedOver(Moment clock) {
    // Nothing is checked of a request that belongs to no client.
  }

  /** Whether it brings the host new work, so that the host's lease must hold when it leaves. */
  protected boolean isNewWork() {
    return false;
  }

  /** Whether the host is sent a cancellation when the request is withdrawn. */
  protected boolean isCancellable() {
    return true;
  }

  /** The word under which the host answers. */
  protected final String tag() {
    return tag;
  }

  /** Whether the request has ended or was withdrawn. */
  public final boolean isOver() {
    return state.isFinal();
  }

  /** Whether bytes of it may have left; until then it is proven that it did not run. */
  final boolean mayHaveLeft() {
    return connection != null;
  }

  final HostConnection connection() {
    return connection;
  }

  final Moment sentAt() {
    return sentAt;
  }

  /**
   * Whether an earlier request of the same tag went out on the connection: a duplicate of its
   * response would be taken for the response to this one.
   */
  final boolean tagWasUsedOn(HostConnection other) {
    for (Request earlier = previous; earlier != null; earlier = earlier.previous) {
      if (earlier.connection == other) {
        return true;
      }
    }
    return false;
  }

  /** Adds to the connections that failed to open while it waited, and returns their sum. */
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

  final void decided() {
    become(RequestState.DECIDED);
  }

  /** Suppresses the outcome. Nothing happens where the request is over already. */
  final void withdrawn() {
    if (!state.isFinal()) {
      become(RequestState.WITHDRAWN);
    }
  }

  /** Delivers the outcome unless the request is over already. */
  final void end(Outcome outcome, ResponseFields fields, ByteBuf body) {
    if (!state.isFinal()) {
      become(RequestState.ENDED);
      ended(outcome, fields, body);
    }
  }

  private void become(RequestState next) {
    if (!state.mayBecome(next)) {
      throw new IllegalStateException("request " + tag + " can't go from " + state + " to " + next);
    }
    state = next;
  }
}
