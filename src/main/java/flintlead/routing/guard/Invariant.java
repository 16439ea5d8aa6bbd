package flintlead.routing.guard;

import java.util.Locale;

/** What must hold for every invocation, whatever peers, network and machine do. */
public enum Invariant {
  /** An invocation gets one final answer, and nothing after it. */
  ONE_FINAL_ANSWER,
  /** No attempt leaves for an invocation that was answered or whose client has gone. */
  NO_ATTEMPT_AFTER_END,
  /** No attempt leaves on knowledge of the client's connection that is too old. */
  CLIENT_SEEN_BEFORE_ATTEMPT,
  /** No attempt is given more time than the client has left. */
  DEADLINE_NOT_EXTENDED,
  /** New work leaves only for a host that the list or a proof of its own shows to take it. */
  LEASE_BEFORE_NEW_WORK,
  /** An invocation is answered by its deadline, unless the process stood still. */
  ANSWER_IN_TIME,
  /** The gateway does not close a connection whose request has no answer. */
  ANSWER_BEFORE_CLOSE,
  /** Requests that were accepted are known to the scheduler, and leave nothing behind. */
  LIFECYCLE;

  /** The name in log lines. */
  public String key() {
    return name().toLowerCase(Locale.ROOT);
  }
}
