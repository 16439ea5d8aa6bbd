package flintlead.configuration.transaction;

import flintlead.time.Span;

/**
 * How carefully a change is applied, and what rolls it back.
 *
 * @param stepFraction share of the ready hosts that one step may take away or move; at least one
 *     host
 * @param settleTime wait between two steps, for function loads and for hosts that have just started
 * @param observationTime time under observation after the last step, until the change is confirmed
 * @param unreachableTimeout how long no host may answer before the change is rolled back
 * @param maxFailureIncrease by how much the share of failed invocations may grow, as a fraction
 * @param minInvocations invocations on either side before failure rates are compared
 * @param standardErrors standard errors by which the growth must exceed {@code worse}: three happen
 *     by chance once in 740
 */
public record RollbackThresholds(
    double stepFraction,
    Span settleTime,
    Span observationTime,
    Span unreachableTimeout,
    double maxFailureIncrease,
    int minInvocations,
    double standardErrors) {

  /** The thresholds that hold where a file says nothing. */
  public static final RollbackThresholds DEFAULTS =
      new RollbackThresholds(
          0.25, Span.ofMillis(2_000), Span.ofMillis(10_000), Span.ofMillis(1_000), 0.02, 50, 3);
}
