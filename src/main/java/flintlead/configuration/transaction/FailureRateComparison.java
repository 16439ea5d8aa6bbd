package flintlead.configuration.transaction;

/**
 * Compares the failure rate after a change with the one before, as the difference of two samples'
 * proportions.
 *
 * @param baselineStart the sample with which the time before the change begins
 * @param changeStart the sample taken when the change began
 * @param now the newest sample
 */
record FailureRateComparison(
    HealthSample baselineStart, HealthSample changeStart, HealthSample now) {

  /** Failure rate that is taken for usual where too little was counted before the change. */
  private static final double ASSUMED_FAILURE_RATE = 0.05;

  /**
   * Smallest variance: without it, a sample without any failure would make every failure
   * significant.
   */
  private static final double MIN_VARIANCE = 1e-9;

  /** Returns the number of failures since the change began. */
  long failuresSinceChange() {
    return now.failed() - changeStart.failed();
  }

  /** Returns the number of invocations that ended since the change began. */
  long totalSinceChange() {
    return now.total() - changeStart.total();
  }

  /**
   * Returns whether the failure rate has grown by more than the thresholds allow.
   *
   * @param comparisons how many such comparisons are made at once: a false alarm by any of them
   *     must stay as rare as by a single one
   */
  boolean isWorse(RollbackThresholds thresholds, int comparisons) {
    double before = Math.max(0, changeStart.total() - baselineStart.total());
    double after = totalSinceChange();
    if (after < thresholds.minInvocations()) {
      return false;
    }
    double rateAfter = failuresSinceChange() / after;
    double rateBefore =
        before < thresholds.minInvocations()
            ? ASSUMED_FAILURE_RATE
            : (changeStart.failed() - baselineStart.failed()) / before;
    double weight = Math.max(before, thresholds.minInvocations());
    double pooledRate = (rateAfter * after + rateBefore * weight) / (after + weight);
    double standardError =
        Math.sqrt(Math.max(MIN_VARIANCE, pooledRate * (1 - pooledRate) * (1 / after + 1 / weight)));
    double required = requiredStandardErrors(thresholds.standardErrors(), comparisons);
    return rateAfter - rateBefore - thresholds.maxFailureIncrease() > required * standardError;
  }

  /**
   * Bonferroni's correction to the first order: a normal tail beyond c shrinks by n where c squared
   * grows by 2 ln n.
   */
  private static double requiredStandardErrors(double single, int comparisons) {
    return Math.sqrt(single * single + 2 * Math.log(Math.max(1, comparisons)));
  }
}
