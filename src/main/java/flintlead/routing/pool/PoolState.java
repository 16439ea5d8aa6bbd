package flintlead.routing.pool;

import flintlead.time.Moment;

/**
 * The state of one pool in a gateway. It is added with the first layout that contains the pool and
 * removed when no layout in force contains the pool and its last invocation is complete. A pool
 * that selects other hosts has its own state, even if it has the same name. Not thread-safe.
 */
final class PoolState {

  /** Identifies the pool among all that have a state; may be reused after the state is removed. */
  final int id;

  final PoolCounters counters;
  final EvaluationWindow window;
  final SpilloverAdmission admission = new SpilloverAdmission();

  /** The definition in force. Its limits may change, its name and selector don't. */
  Pool definition;

  /**
   * Whether a layout in force contains the pool; if not, it only completes the invocations that
   * were assigned to it before.
   */
  boolean listed = true;

  /** Invocations in flight, including those spilled in from other pools. */
  int inFlight;

  int spilloverInFlight;
  int readyHosts;

  /** Whether it had enough ready hosts at the last update. */
  boolean available = true;

  /**
   * Whether it ever had enough ready hosts. A pool that has them for the first time is new, so it
   * has no functions to take back gradually.
   */
  boolean wasEverAvailable;

  /** Share of the pool's own functions that are offered to other pools, from 0 to 1. */
  double spillShare;

  PoolState(int id, Pool pool, Moment now, PoolCounters counters) {
    this.id = id;
    this.definition = pool;
    this.window = new EvaluationWindow(now);
    this.counters = counters;
  }

  /** The pool's bit in the hosts' pool masks. */
  long mask() {
    return 1L << id;
  }

  /**
   * Whether this is the state of the given pool, that is, of one with the same name and selector.
   */
  boolean isStateOf(Pool other) {
    return definition.name().equals(other.name()) && definition.selector().equals(other.selector());
  }

  /**
   * Whether the state may be removed: no layout in force contains the pool, and it has no
   * invocations in flight.
   */
  boolean isRetired() {
    return !listed && inFlight == 0;
  }

  PoolSnapshot snapshot() {
    return new PoolSnapshot(
        definition.name(),
        id,
        listed,
        available,
        readyHosts,
        inFlight,
        spilloverInFlight,
        spillShare,
        admission.share(),
        counters.assigned,
        counters.succeeded,
        counters.failed,
        counters.spilledIn,
        counters.spilledOut,
        counters.rejected);
  }
}
