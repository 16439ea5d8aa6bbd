package flintlead.gateway.upstream;

import flintlead.routing.guard.InvocationGuard;
import flintlead.routing.guard.SendVerdict;
import flintlead.time.Moment;
import flintlead.transport.jsonrpc.MessageWriter;

/**
 * One request to a host and its end. Used on the gateway's event loop only.
 *
 * <p>Allowed transitions:
 *
 * <pre>
 *   QUEUED -> SENT -> ENDED_AFTER_SEND
 *   QUEUED -> ENDED_UNSENT
 * </pre>
 */
public abstract class Exchange {

  /** Where the request is; see the transitions in the class comment. */
  private enum State {
    /** No byte can have left the gateway. */
    QUEUED,
    /** Bytes may have left; from here on only an answer can prove that the host did not run it. */
    SENT,
    /** Ended or withdrawn; no byte has left or will leave. */
    ENDED_UNSENT,
    /** Ended or withdrawn after bytes may have left. */
    ENDED_AFTER_SEND;

    boolean hasEnded() {
      return this == ENDED_UNSENT || this == ENDED_AFTER_SEND;
    }
  }

  private State state = State.QUEUED;
  private long requestId;
  private Connection connection;
  private Moment sentAt;

  /** The method's name in the hosts' protocol. */
  protected abstract String method();

  /** Writes the request's parameters; called when the request is sent. */
  protected abstract void params(MessageWriter frame);

  /**
   * Whether a second run is harmless, so that the request may end with {@link
   * flintlead.scheduling.api.Outcome#CONNECTION_LOST} when its connection goes silent while the
   * host answers on another address. The answer to any other request is awaited where the request
   * went.
   */
  protected boolean isIdempotent() {
    return false;
  }

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

  /** Whether it brings the host new work, so that the host's lease must hold when it leaves. */
  protected boolean isNewWork() {
    return false;
  }

  /** The request has ended; called at most once, and never after {@link HostLink#withdraw}. */
  protected abstract void ended(ExchangeResult result);

  /** Whether any byte of the request may have left the gateway. */
  public final boolean mayHaveBeenSent() {
    return state == State.SENT || state == State.ENDED_AFTER_SEND;
  }

  /** Whether the request has ended or was withdrawn. */
  public final boolean hasEnded() {
    return state.hasEnded();
  }

  /** The request's id on its connection; meaningful once it was sent. */
  final long requestId() {
    return requestId;
  }

  /** When it was sent; null while queued. */
  final Moment sentAt() {
    return sentAt;
  }

  /** The connection it was sent on; null while queued. */
  final Connection connection() {
    return connection;
  }

  /** Records that bytes may leave on the connection from now on, whatever becomes of it. */
  final void markSent(Connection carrier, long id, Moment now) {
    if (state != State.QUEUED) {
      throw new IllegalStateException("request sent in state " + state);
    }
    state = State.SENT;
    connection = carrier;
    sentAt = now;
    requestId = id;
  }

  /** Ends the request without telling {@link #ended}. */
  final void markWithdrawn() {
    if (!hasEnded()) {
      state = state == State.SENT ? State.ENDED_AFTER_SEND : State.ENDED_UNSENT;
    }
  }

  /** Ends the request; does nothing if it has ended already. */
  final void end(ExchangeResult result) {
    if (!hasEnded()) {
      markWithdrawn();
      ended(result);
    }
  }
}
