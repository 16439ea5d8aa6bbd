package flintlead.routing.pool;

import flintlead.time.Moment;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The pools that invocations with an idempotency key were assigned to. Hosts of one pool don't know
 * the keys of another pool's hosts: a repeat that arrives while the first invocation is in flight,
 * or while hosts still remember its key, must go to the same pool, even if the routes have changed.
 * Bounded: the oldest assignment is evicted first. Evictions of valid assignments are counted, as a
 * repeat could then take effect in two pools. Not thread-safe.
 */
final class StickyAssignments {

  /**
   * Maximum number of old assignments that are removed with each new one: more than one, so that
   * expired assignments don't accumulate.
   */
  private static final int MAX_EVICTIONS_PER_ASSIGNMENT = 2;

  /**
   * The pool of a key, the number of invocations with the key in flight there, and the time until
   * which hosts remember the key after the last of them.
   */
  private static final class Assignment {
    final PoolState pool;
    int inFlight;
    Moment validUntil = new Moment(0);

    Assignment(PoolState pool) {
      this.pool = pool;
    }

    boolean isValid(Moment now) {
      return inFlight > 0 || now.isBefore(validUntil);
    }
  }

  private final int capacity;

  /** By key, in order of the last invocation, which is nearly the order of expiry. */
  private final Map<String, Assignment> assignments = new LinkedHashMap<>();

  private long evicted;

  StickyAssignments(int capacity) {
    this.capacity = capacity;
  }

  /** Returns the pool that a repeat must go to; null if it may go to any pool. */
  PoolState find(String key, Moment now) {
    Assignment assignment = assignments.get(key);
    return assignment == null || !assignment.isValid(now) ? null : assignment.pool;
  }

  /** Records that an invocation with this key was assigned to the pool. */
  void recordAssignment(String key, PoolState pool, Moment now) {
    Assignment assignment = assignments.remove(key);
    if (assignment == null || !assignment.isValid(now)) {
      assignment = new Assignment(pool);
    }
    assignment.inFlight++;
    assignments.put(key, assignment);
    evictOldest(now);
  }

  private void evictOldest(Moment now) {
    Iterator<Assignment> oldest = assignments.values().iterator();
    for (int step = 0; step < MAX_EVICTIONS_PER_ASSIGNMENT && oldest.hasNext(); step++) {
      boolean valid = oldest.next().isValid(now);
      if (valid && assignments.size() <= capacity) {
        return;
      }
      evicted += valid ? 1 : 0;
      oldest.remove();
    }
  }

  /**
   * Records that an invocation with this key is complete. The pool's hosts remember the key until
   * {@code knownUntil}.
   */
  void recordCompletion(String key, PoolState pool, Moment knownUntil) {
    Assignment assignment = assignments.get(key);
    if (assignment != null && assignment.pool == pool) {
      assignment.inFlight = Math.max(0, assignment.inFlight - 1);
      assignment.validUntil = Moment.later(assignment.validUntil, knownUntil);
    }
  }

  /**
   * Removes all assignments to a pool whose state is removed: it has no hosts any more, and its id
   * may be reused for another pool.
   */
  void removePool(PoolState pool) {
    assignments.values().removeIf(assignment -> assignment.pool == pool);
  }

  int size() {
    return assignments.size();
  }

  /** Number of assignments evicted for lack of capacity while still valid. */
  long evicted() {
    return evicted;
  }
}
