package flintlead.platform.upstream;

import flintlead.transport.dial.LocalExhaustion;

/**
 * Why a connection to a host ended. Determines the outcome of the requests that were in flight on
 * it.
 */
enum CloseReason {
  /** This gateway closed the connection because it was idle, suspect or no longer needed. */
  CLOSED_LOCALLY,
  /** The connection never opened: it was refused, or the host is unreachable. */
  CONNECT_FAILED,
  /** The connection did not open in time. */
  CONNECT_TIMED_OUT,
  /**
   * The connection never opened because this machine had no descriptor, buffer or port left for it.
   */
  LOCAL_EXHAUSTION,
  /** The connection was reset before it opened, so a process listens there and had accepted it. */
  RESET_WHILE_CONNECTING,
  /** The connection broke after it had opened, or was aborted to discard unsent bytes. */
  BROKEN,
  /** The host sent a malformed response or stopped in the middle of one. */
  MALFORMED_RESPONSE;

  /** Whether the host's process may have died, so that another one may answer at its address. */
  boolean mayMeanDeath() {
    return this == BROKEN || this == RESET_WHILE_CONNECTING || this == CONNECT_FAILED;
  }

  /**
   * Classifies the end of a stream.
   *
   * @param error the transport's description of the error
   * @param opened whether the stream had opened
   */
  static CloseReason of(String error, boolean opened) {
    if (opened) {
      return BROKEN;
    }
    if (LocalExhaustion.isReportedBy(error)) {
      return LOCAL_EXHAUSTION;
    }
    return error.contains("reset") ? RESET_WHILE_CONNECTING : CONNECT_FAILED;
  }
}
