package flintlead.configuration.transaction;

import java.util.Map;

/**
 * A sample of a gateway's health: counts since its process began, for the whole gateway and for
 * each pool.
 *
 * @param succeeded invocations that succeeded
 * @param failed invocations that were throttled or failed with an error
 * @param anyHostAlive whether any ready host of the list has answered lately
 * @param pools the same for each pool that a route leads to, by name
 */
public record HealthSample(
    long succeeded, long failed, boolean anyHostAlive, Map<String, HealthSample> pools) {

  /** Stands for a pool that nothing is known of. */
  private static final HealthSample UNKNOWN = new HealthSample(0, 0, true);

  /** Copies the pools' map. */
  public HealthSample {
    pools = Map.copyOf(pools);
  }

  /** Creates a sample of a gateway without pools, or of one pool. */
  public HealthSample(long succeeded, long failed, boolean anyHostAlive) {
    this(succeeded, failed, anyHostAlive, Map.of());
  }

  /** Returns the pool's sample; without failures and alive where there is no such pool. */
  HealthSample pool(String pool) {
    return pools.getOrDefault(pool, UNKNOWN);
  }

  /** Returns the number of invocations that have ended. */
  long total() {
    return succeeded + failed;
  }
}
