package flintlead.routing.guard;

/** Whether an attempt may leave now. */
public enum SendVerdict {
  /** It may leave. */
  SEND,
  /** The sockets were not looked at for too long: it waits until they were. */
  LOOK_FIRST,
  /** The host's lease has ended: the host is probed first. */
  PROVE_FIRST,
  /** The host's lease has ended and nothing can renew it now: it must not leave for this host. */
  UNPROVEN,
  /** The invocation was answered, or its client has gone: it must never leave. */
  ENDED,
  /** The client's time is up: it must never leave. */
  EXPIRED
}
