package flintlead.platform.downstream;

import java.util.Locale;

/** Why the gateway closed or refused a client's connection. */
public enum CloseCause {
  /** The last response on the connection was written. */
  LAST_RESPONSE,
  /** The connection was idle for too long. */
  IDLE,
  /** The connection was idle and was closed to make room for a new one. */
  EVICTED,
  /** The connection was idle when the gateway shut down. */
  SHUTDOWN,
  /** The client did not read its response in time. */
  RESPONSE_UNREAD,
  /** The connection limit was reached: its first request was refused and nothing else was read. */
  REFUSED,
  /** The gateway stopped immediately, as a killed process does. */
  KILLED,
  /** An internal error in the gateway. */
  FAULT;

  /**
   * Whether the connection may be closed before its request has a response. Closing it for any
   * other cause without a response is an invariant violation.
   */
  boolean mayLeaveUnanswered() {
    return this == RESPONSE_UNREAD || this == KILLED;
  }

  /** The name used in log events. */
  public String key() {
    return "client_closed_" + name().toLowerCase(Locale.ROOT);
  }
}
