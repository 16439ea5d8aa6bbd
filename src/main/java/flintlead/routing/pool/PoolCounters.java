package flintlead.routing.pool;

/**
 * Invocation counters of the pools with one name. They are kept when the hosts of the pool change.
 * Not thread-safe.
 */
final class PoolCounters {
  /** Invocations assigned to the pool. */
  long assigned;

  /** Of those, the ones that succeeded within their latency objective. */
  long succeeded;

  /** Of those, the ones that were throttled, failed, or were late. */
  long failed;

  /** Invocations of other pools that were assigned to this one. */
  long spilledIn;

  /** Own invocations that were assigned to another pool. */
  long spilledOut;

  /** Own invocations that no pool accepted. */
  long rejected;
}
