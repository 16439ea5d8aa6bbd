package flintlead.testing.soak;

/**
 * One invariant that did not hold.
 *
 * @param invariant which
 * @param subject the request's id, or the gateway's name
 * @param detail what was seen, with times
 */
public record Breach(Invariant invariant, String subject, String detail) {

  /** What must hold in a soak. */
  public enum Invariant {
    ANSWER_IN_TIME,
    ONE_WHOLE_RIGHT_ANSWER,
    NO_CLOSE_WITHOUT_ANSWER,
    NO_ATTEMPT_AFTER_END,
    DEADLINE_NOT_EXTENDED,
    NO_SECOND_EFFECT,
    NOTHING_TO_DRAINING_HOST,
    PROBES_BOUNDED,
    READY_IN_TIME,
    NO_CRASH,
    LIMITS_KEPT,
    NO_VIOLATION_REPORTED
  }

  @Override
  public String toString() {
    return invariant + " " + subject + ": " + detail;
  }
}
