package flintlead.routing.guard;

/** Whether a request may be sent to a host now and, if not, the reason. */
public enum SendVerdict {
  /** It may be sent. */
  SEND,
  /**
   * The sockets were not polled recently, so its client may have disconnected unnoticed: it waits
   * for the next poll.
   */
  POLL_FIRST,
  /** The host's lease has expired: the host must answer a probe first. */
  PROBE_FIRST,
  /**
   * The host's lease has expired and can't be renewed now: the request must not be sent to this
   * host.
   */
  UNPROVEN,
  /**
   * The invocation was answered, or its client has gone: the request must not be sent to any host.
   */
  ENDED,
  /**
   * The client or the gateway no longer waits for the answer: the request must not be sent to any
   * host.
   */
  EXPIRED
}
