package flintlead.scheduling.state;

/**
 * Limits spills: loads of a function at a further host because the hosts that have it loaded are
 * out of capacity. A load takes its host more time than many answers do and may evict another
 * function. If there are too many spills per answer, they cost more capacity than they gain, and
 * the shortage causes further spills. Works for loads as a retry budget does for retries.
 */
public final class SpillBudget {

  /** Spills credited for each successful answer. */
  private static final double CREDIT_PER_ANSWER = 0.05;

  /** Maximum and initial number of spills available. */
  private static final double MAX_CREDIT = 10;

  private double credit = MAX_CREDIT;

  /** Credits the budget for a successful answer. */
  public void deposit() {
    credit = Math.min(MAX_CREDIT, credit + CREDIT_PER_ANSWER);
  }

  /** Returns whether another spill may begin. */
  public boolean isAvailable() {
    return credit >= 1;
  }

  /** Charges the budget for a spill that begins. */
  public void spend() {
    credit = Math.max(0, credit - 1);
  }
}
