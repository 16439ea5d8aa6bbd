package flintlead.routing.pool;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * Decides which spilled invocations of other pools a pool accepts: those of a share of the
 * functions, which grows while the pool's own responses are fast and shrinks when they are slow
 * (additive increase, multiplicative decrease: Chiu and Jain 1989). It is a share of the functions,
 * not of the invocations: with a few invocations of every function, all functions would have to be
 * loaded and none would be served. Not thread-safe.
 */
final class SpilloverAdmission {

  private static final double INITIAL_SHARE = 0.25;
  private static final double MIN_SHARE = 0.02;
  private static final double ADDITIVE_INCREASE = 0.05;
  private static final double MULTIPLICATIVE_DECREASE = 0.67;
  private static final double FAST_GROWTH = 2;

  /** The pool is slow above this mean relative latency of its own invocations. */
  private static final double SLOW_ABOVE = 0.2;

  /** The pool is fast below this mean relative latency of its own invocations. */
  private static final double FAST_BELOW = 0.1;

  /**
   * Invocations are accepted only while fewer are in flight in the pool than this multiple of the
   * baseline plus {@link #BASELINE_ALLOWANCE}.
   */
  private static final double MAX_BASELINE_MULTIPLE = 1.5;

  private static final double BASELINE_ALLOWANCE = 4;

  /** Weight of a new sample in the baseline. */
  private static final double BASELINE_WEIGHT = 0.2;

  /**
   * The share grows only within this time after an invocation was rejected, as otherwise there is
   * no demand for a larger share.
   */
  private static final Span GROWTH_PERIOD = Span.ofMillis(1_000);

  /** After this long without an offer the share is reset to its initial value. */
  private static final Span RESTART_AFTER = Span.ofMillis(10_000);

  private double share = INITIAL_SHARE;

  /** Exponentially weighted mean of the invocations in flight while the pool is fast. */
  private double baselineInFlight;

  /** Whether the share doubles when it grows; false once it has been too large. */
  private boolean growsFast = true;

  private Moment lastOffer = new Moment(0);
  private Moment lastRejection = new Moment(0);

  /** Share of the functions of other pools that is accepted, from above 0 to 1. */
  double share() {
    return share;
  }

  /**
   * Decides whether an invocation of another pool is accepted.
   *
   * @param inFlight invocations that the pool has in flight
   */
  boolean offer(String function, int inFlight, Moment now) {
    if (now.since(lastOffer).isLongerThan(RESTART_AFTER)) {
      share = INITIAL_SHARE;
      growsFast = true;
    }
    lastOffer = now;
    boolean accepted = HashFraction.ACCEPT.of(function) < share && hasRoom(inFlight);
    if (!accepted) {
      lastRejection = now;
    }
    return accepted;
  }

  private boolean hasRoom(int inFlight) {
    return inFlight < MAX_BASELINE_MULTIPLE * baselineInFlight + BASELINE_ALLOWANCE;
  }

  /**
   * Adjusts the share after an evaluation.
   *
   * @param meanRelativeLatency of the pool's own invocations, as a share of their latency
   *     objectives
   */
  void adjust(double meanRelativeLatency, int inFlight, Moment now) {
    if (meanRelativeLatency < FAST_BELOW) {
      baselineInFlight += BASELINE_WEIGHT * (inFlight - baselineInFlight);
    }
    if (meanRelativeLatency > SLOW_ABOVE) {
      share = Math.max(MIN_SHARE, share * MULTIPLICATIVE_DECREASE);
      growsFast = false;
    } else if (meanRelativeLatency < FAST_BELOW && hasUnmetDemand(now)) {
      // Doubles at first: the functions of a failed pool should be served by others within a second
      // or two.
      share = Math.min(1, growsFast ? FAST_GROWTH * share : share + ADDITIVE_INCREASE);
    }
  }

  private boolean hasUnmetDemand(Moment now) {
    return now.since(lastRejection).isShorterThan(GROWTH_PERIOD);
  }
}
