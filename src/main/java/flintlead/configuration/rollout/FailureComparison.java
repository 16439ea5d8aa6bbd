package flintlead.configuration.rollout;

import java.util.List;
import java.util.Optional;

/**
 * Compares the failure rate of changed gateways with that of the others in the same time, as the
 * difference of two proportions. What affects all gateways at once is thus not held against the
 * change.
 */
final class FailureComparison {

  /**
   * Smallest variance: without it, a sample without any failure would make every failure
   * significant.
   */
  private static final double MIN_VARIANCE = 1e-9;

  private long changedTotal;
  private long changedFailed;
  private long otherTotal;
  private long otherFailed;

  FailureComparison(List<GatewayRollout> gateways) {
    for (GatewayRollout gateway : gateways) {
      if (gateway.status() != null && gateway.baseline() != null) {
        add(gateway);
      }
    }
  }

  private void add(GatewayRollout gateway) {
    long total = gateway.status().total() - gateway.baseline().total();
    long failed = gateway.status().failed() - gateway.baseline().failed();
    if (gateway.isNotified()) {
      changedTotal += total;
      changedFailed += failed;
    } else {
      otherTotal += total;
      otherFailed += failed;
    }
  }

  /**
   * Returns how much worse the changed gateways do, in words; empty where they don't, or where too
   * little was counted. Once no gateway is left to compare with, each gateway's own observation has
   * judged.
   */
  Optional<String> harm(RolloutTiming limits) {
    if (changedTotal < limits.minInvocations() || otherTotal < limits.minInvocations()) {
      return Optional.empty();
    }
    double changedRate = (double) changedFailed / changedTotal;
    double otherRate = (double) otherFailed / otherTotal;
    double pooledRate = (double) (changedFailed + otherFailed) / (changedTotal + otherTotal);
    double variance = pooledRate * (1 - pooledRate) * (1.0 / changedTotal + 1.0 / otherTotal);
    double standardError = Math.sqrt(Math.max(MIN_VARIANCE, variance));
    if (changedRate - otherRate - limits.maxFailureIncrease()
        <= limits.standardErrors() * standardError) {
      return Optional.empty();
    }
    return Optional.of(
        percent(changedRate)
            + "% fail at the changed gateways and "
            + percent(otherRate)
            + "% at the others");
  }

  private static double percent(double rate) {
    return Math.round(1000 * rate) / 10.0;
  }
}
