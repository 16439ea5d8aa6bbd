package flintlead.routing.pool;

import flintlead.time.Moment;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The states of all pools that are in a layout in force or still have invocations in flight, with
 * an id for each. Not thread-safe.
 */
final class PoolTable {

  /**
   * Number of pool names with counters; when it is reached, the counters of removed pools are
   * dropped.
   */
  private static final int MAX_NAMES_WITH_COUNTERS = 256;

  private final int capacity;
  private final Consumer<PoolState> retired;
  private final List<PoolState> states = new ArrayList<>();
  private final Map<String, PoolCounters> countersByName = new LinkedHashMap<>();

  /**
   * @param capacity pools that may have a state at once
   * @param retired called with each removed state, before its id is used again
   */
  PoolTable(int capacity, Consumer<PoolState> retired) {
    this.capacity = capacity;
    this.retired = retired;
  }

  /** All states, in the order in which they were added. */
  List<PoolState> states() {
    return Collections.unmodifiableList(states);
  }

  int size() {
    return states.size();
  }

  /**
   * Returns the state of a pool of the layouts in force.
   *
   * @throws IllegalStateException if no layout in force contains the pool
   */
  PoolState listedState(Pool pool) {
    for (PoolState state : states) {
      if (state.listed && state.isStateOf(pool)) {
        return state;
      }
    }
    throw new IllegalStateException("no layout in force contains pool " + pool.name());
  }

  /**
   * Replaces the pools of the layouts in force. Pools that have a state keep it; the state of a
   * pool that is no longer listed stays until its last invocation is complete.
   *
   * @param pools the pools, no two of them with the same name and hosts
   * @return the reason for a refusal, in which case nothing has changed; empty on success
   */
  Optional<String> replaceListed(List<Pool> pools, Moment now) {
    List<PoolState> kept = new ArrayList<>();
    List<Pool> added = new ArrayList<>();
    for (Pool pool : pools) {
      stateOf(pool).ifPresentOrElse(kept::add, () -> added.add(pool));
    }
    long remaining =
        states.stream().filter(state -> kept.contains(state) || state.inFlight > 0).count();
    if (remaining + added.size() > capacity) {
      return Optional.of(
          "invocations of "
              + (remaining - kept.size())
              + " older pools are still in flight, and there is no room for "
              + added.size()
              + " more; try again when they are complete");
    }
    states.forEach(state -> state.listed = kept.contains(state));
    removeRetired();
    added.forEach(pool -> add(pool, now));
    // The limits of a pool may have changed although its hosts have not.
    pools.forEach(pool -> listedState(pool).definition = pool);
    return Optional.empty();
  }

  private Optional<PoolState> stateOf(Pool pool) {
    return states.stream().filter(state -> state.isStateOf(pool)).findFirst();
  }

  /** Adds a state for a pool that has none. */
  void add(Pool pool, Moment now) {
    if (countersByName.size() >= MAX_NAMES_WITH_COUNTERS) {
      countersByName
          .keySet()
          .removeIf(
              name -> states.stream().noneMatch(state -> state.definition.name().equals(name)));
    }
    PoolCounters counters = countersByName.computeIfAbsent(pool.name(), name -> new PoolCounters());
    states.add(new PoolState(smallestFreeId(), pool, now, counters));
  }

  private int smallestFreeId() {
    int id = 0;
    while (isUsed(id)) {
      id++;
    }
    return id;
  }

  private boolean isUsed(int id) {
    return states.stream().anyMatch(state -> state.id == id);
  }

  /** Removes the state if it is retired. Returns whether it was removed. */
  boolean removeIfRetired(PoolState state) {
    if (!state.isRetired()) {
      return false;
    }
    states.remove(state);
    retired.accept(state);
    return true;
  }

  private void removeRetired() {
    List<PoolState> gone = states.stream().filter(PoolState::isRetired).toList();
    states.removeAll(gone);
    gone.forEach(retired);
  }
}
