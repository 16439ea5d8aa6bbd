package flintlead.transport.fair;

/** One claimant's share of a resource in virtual time, in nanoseconds. Not thread-safe. */
final class VirtualShare {

  /** Share of the newest cost in the average is one of so many. */
  private static final int AVERAGED_COSTS = 4;

  /** Virtual time at which the next service starts: where the one before it ended, or later. */
  private long start;

  private long expectedCost;
  private boolean wasServed;

  /** The turn at whose end the claimant was left unserved, if it was. */
  private long leftUnservedIn = -1;

  /**
   * The claimant is ready. One that was idle starts at the present virtual time; one that was left
   * unserved keeps its claim.
   */
  void ready(long virtualTime, long turn) {
    if (leftUnservedIn != turn - 1) {
      start = Math.max(start, virtualTime);
    }
    leftUnservedIn = turn;
  }

  /** The claimant was served. */
  void charge(long nanos) {
    start += nanos;
    expectedCost = wasServed ? expectedCost + (nanos - expectedCost) / AVERAGED_COSTS : nanos;
    wasServed = true;
    leftUnservedIn = -1;
  }

  /** Sets what the first service is expected to cost; without effect after it. */
  void expectFirstCost(long nanos) {
    expectedCost = wasServed ? expectedCost : nanos;
  }

  /** The claimant was served in part and is still ready. */
  void stillReady(long turn) {
    leftUnservedIn = turn;
  }

  long start() {
    return start;
  }

  long expectedCost() {
    return expectedCost;
  }

  /** Virtual time at which the next service is expected to end. */
  long expectedFinish() {
    return start + expectedCost;
  }
}
