package flintlead.configuration.transaction;

import flintlead.routing.pool.Pool;
import flintlead.time.Moment;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides by health samples whether a change does harm: when no host answers any more, or more
 * invocations fail than before, in the whole gateway or in one pool.
 */
final class HealthMonitor {

  private final RollbackThresholds thresholds;

  /** The sample with which the time before the change begins: the end of the change before. */
  private HealthSample baselineStart;

  /** The sample taken when the change began; null before the first change. */
  private HealthSample changeStart;

  /** Since when no host of the whole list answers; null while one does. */
  private Moment unreachableSince;

  /** Pools of which no host answers, and since when. */
  private final Map<String, Moment> poolUnreachableSince = new HashMap<>();

  HealthMonitor(RollbackThresholds thresholds, HealthSample first) {
    this.thresholds = thresholds;
    this.baselineStart = first;
  }

  /** A change begins now. */
  void changeBegins(HealthSample now) {
    changeStart = now;
    unreachableSince = null;
    poolUnreachableSince.clear();
  }

  /** A change has ended: what is counted from now on is what the next one is compared with. */
  void changeEnded(HealthSample now) {
    baselineStart = now;
  }

  /**
   * Judges a new sample.
   *
   * @param confirmed the version in force before the change
   * @param current the version in force now
   * @return the harm that the change does, in words; empty for none
   */
  Optional<String> harm(
      HealthSample sample,
      ConfigurationVersion confirmed,
      ConfigurationVersion current,
      Moment now) {
    unreachableSince =
        sample.anyHostAlive() ? null : unreachableSince == null ? now : unreachableSince;
    Optional<String> harmedPool = harmToPools(sample, confirmed, current, now);
    if (harmedPool.isPresent()) {
      return harmedPool;
    }
    if (unreachableSince != null && isTimedOut(unreachableSince, now)) {
      return Optional.of("no host of version " + current + " answers");
    }
    FailureRateComparison comparison =
        new FailureRateComparison(baselineStart, changeStart, sample);
    if (comparison.isWorse(thresholds, comparisons(sample))) {
      return Optional.of(
          "answers are worse: "
              + comparison.failuresSinceChange()
              + " of "
              + comparison.totalSinceChange()
              + " since it began did not succeed");
    }
    return Optional.empty();
  }

  /** A change is as bad where one of many pools fails by it as where the only one does. */
  private Optional<String> harmToPools(
      HealthSample sample,
      ConfigurationVersion confirmed,
      ConfigurationVersion current,
      Moment now) {
    for (Map.Entry<String, HealthSample> entry : new TreeMap<>(sample.pools()).entrySet()) {
      String name = entry.getKey();
      if (entry.getValue().anyHostAlive() || wasUnreachableBefore(name, confirmed, current)) {
        poolUnreachableSince.remove(name);
      } else if (isTimedOut(poolUnreachableSince.computeIfAbsent(name, any -> now), now)) {
        return Optional.of("no host of pool " + name + " answers");
      }
      FailureRateComparison comparison =
          new FailureRateComparison(
              baselineStart.pool(name), changeStart.pool(name), entry.getValue());
      if (comparison.isWorse(thresholds, comparisons(sample))) {
        return Optional.of(
            "answers of pool "
                + name
                + " are worse: "
                + comparison.failuresSinceChange()
                + " since it began did not succeed");
      }
    }
    return Optional.empty();
  }

  /** A pool that did not answer before, with the same hosts, is not held against the change. */
  private boolean wasUnreachableBefore(
      String name, ConfigurationVersion confirmed, ConfigurationVersion current) {
    Pool before = confirmed.layout().pool(name);
    Pool after = current.layout().pool(name);
    return changeStart.pools().containsKey(name)
        && !changeStart.pool(name).anyHostAlive()
        && before != null
        && after != null
        && before.selector().equals(after.selector());
  }

  private boolean isTimedOut(Moment since, Moment now) {
    return !now.since(since).isShorterThan(thresholds.unreachableTimeout());
  }

  /** One comparison for the whole gateway, and one for each pool. */
  private static int comparisons(HealthSample sample) {
    return 1 + sample.pools().size();
  }
}
