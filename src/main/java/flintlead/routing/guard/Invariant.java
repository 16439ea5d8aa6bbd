package flintlead.routing.guard;

import java.util.Locale;

/**
 * Rules that the gateway must not break for any invocation, whatever clients, hosts, network and
 * machine do.
 */
public enum Invariant {
  /** An invocation gets exactly one final answer, and nothing after it. */
  ONE_FINAL_ANSWER,
  /**
   * No attempt is sent for an invocation that was answered, or whose client has disconnected or
   * cancelled it.
   */
  NO_ATTEMPT_AFTER_END,
  /** An attempt is sent only if the client's connection was recently known to be open. */
  CLIENT_SEEN_BEFORE_ATTEMPT,
  /** A host is not granted more time for an attempt than the client has left. */
  DEADLINE_NOT_EXTENDED,
  /**
   * New work is sent to a host only while its lease is valid: renewed by a current host list, or by
   * the host's own answer to a probe or to earlier work.
   */
  LEASE_BEFORE_NEW_WORK,
  /** An invocation is answered by its deadline, unless the process was stalled. */
  ANSWER_IN_TIME,
  /** The gateway does not close a client connection while a request on it is unanswered. */
  ANSWER_BEFORE_CLOSE,
  /**
   * An accepted request is known to the scheduler, and all of its state is removed when it ends.
   */
  LIFECYCLE;

  /** Returns the name that is used in log lines. */
  public String key() {
    return name().toLowerCase(Locale.ROOT);
  }
}
