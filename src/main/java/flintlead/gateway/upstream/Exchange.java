package flintlead.gateway.upstream;

import flintlead.routing.guard.InvocationGuard;
import flintlead.routing.guard.SendVerdict;
import flintlead.time.Moment;
import flintlead.transport.jsonrpc.MessageWriter;

/**
 * One request to a host and how it ends. Used on the gateway's event loop only.
 *
 * <p>Allowed transitions:
 *
 * <pre>
 *   QUEUED -> SENT -> ENDED_AFTER_SEND
 *   QUEUED -> ENDED_UNSENT
 * </pre>
 */
public abstract class Exchange {

  /** The state of the request; the class comment lists the transitions. */
  private enum State {
    /** Not sent: no byte can have left the gateway. */
    QUEUED,
    /** Bytes may have left; from here on only a response can prove that the host did not run it. */
    SENT,
    /** Ended or withdrawn before it was sent; no byte has left or will leave. */
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

  /** The JSON-RPC method of the request. */
  protected abstract String method();

  /** Writes the request's parameters; called once, when the request is sent. */
  protected abstract void params(MessageWriter frame);

  /**
   * Whether the host may safely run the request twice. If its connection goes silent while the host
   * answers on another address, an idempotent request ends with {@link
   * flintlead.scheduling.api.Outcome#CONNECTION_LOST} and may be retried. Any other request keeps
   * waiting for the response on the connection on which it was sent.
   */
  protected boolean isIdempotent() {
    return false;
  }

  /**
   * Whether the request may be sent now.
   *
   * @param deliveredUpTo the time up to which the events of all sockets have been delivered
   * @param clock the current time
   */
  protected SendVerdict maySend(Moment deliveredUpTo, Moment clock) {
    return InvocationGuard.isRecent(deliveredUpTo, clock)
        ? SendVerdict.SEND
        : SendVerdict.POLL_FIRST;
  }

  /**
   * Whether the request gives the host new work; the host's lease must be valid when it is sent.
   */
  protected boolean isNewWork() {
    return false;
  }

  /** Called when the request ends; at most once, and never after {@link HostLink#withdraw}. */
  protected abstract void ended(ExchangeResult result);

  /** Whether any byte of the request may have left the gateway. */
  public final boolean mayHaveBeenSent() {
    return state == State.SENT || state == State.ENDED_AFTER_SEND;
  }

  /** Whether the request has ended or was withdrawn. */
  public final boolean hasEnded() {
    return state.hasEnded();
  }

  /** The request's id on its connection; valid only once the request was sent. */
  final long requestId() {
    return requestId;
  }

  /** When the request was sent; null if it was not. */
  final Moment sentAt() {
    return sentAt;
  }

  /** The connection on which the request was sent; null if it was not. */
  final Connection connection() {
    return connection;
  }

  /** Marks the request as sent: from now on its bytes may leave on the connection. */
  final void markSent(Connection carrier, long id, Moment now) {
    if (state != State.QUEUED) {
      throw new IllegalStateException(
          "request can't be sent: its state is " + state + " instead of " + State.QUEUED);
    }
    state = State.SENT;
    connection = carrier;
    sentAt = now;
    requestId = id;
  }

  /** Ends the request without calling {@link #ended}; does nothing if it has ended already. */
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
