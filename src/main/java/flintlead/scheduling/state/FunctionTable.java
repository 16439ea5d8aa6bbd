package flintlead.scheduling.state;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * The functions known to a gateway, and their estimates. If there are more than the maximum, the
 * least recently used function with no invocation queued or in flight is evicted. Functions that
 * were never seen loaded are evicted before others, so that a client which asks for ever new ones
 * does not make the gateway forget where the functions of other clients are loaded.
 */
public final class FunctionTable {

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  /**
   * Fraction of the functions that may be ones never seen loaded before these are evicted first.
   */
  private static final double NEVER_LOADED_FRACTION = 0.25;

  private final int maxFunctions;
  private final int maxEstimates;
  private final FunctionState.EstimateCounter estimates = new FunctionState.EstimateCounter();

  /** Functions that were never seen loaded, the least recently used function first. */
  private final Map<Long, FunctionState> neverLoaded = leastRecentlyUsedFirst();

  /** The other functions, the least recently used function first. */
  private final Map<Long, FunctionState> loaded = leastRecentlyUsedFirst();

  FunctionTable(int maxFunctions, int maxEstimates) {
    this.maxFunctions = maxFunctions;
    this.maxEstimates = maxEstimates;
  }

  private static Map<Long, FunctionState> leastRecentlyUsedFirst() {
    return new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  }

  /** Returns the function with that id; creates it if it is unknown. */
  public FunctionState getOrCreate(long id) {
    FunctionState function = loaded.get(id);
    if (function != null) {
      return function;
    }
    function = neverLoaded.get(id);
    if (function == null) {
      function = new FunctionState(id, estimates);
      neverLoaded.put(id, function);
      if (size() > maxFunctions) {
        evictOne(function);
      }
    } else if (function.hasLoadedInstance()) {
      neverLoaded.remove(id);
      loaded.put(id, function);
    }
    return function;
  }

  /** Returns the function's estimate for the host; creates it if there is none. */
  public InstanceEstimate getOrCreateEstimate(FunctionState function, Host host) {
    InstanceEstimate estimate = function.getOrCreateEstimate(host);
    boolean evicted = true;
    while (evicted && estimates.count() > maxEstimates) {
      evicted = evictOne(function) || function.forgetOldestIdleEstimate(estimate);
    }
    return estimate;
  }

  /** Evicts an idle function other than the one in use; returns whether there was one. */
  private boolean evictOne(FunctionState inUse) {
    return neverLoaded.size() > maxFunctions * NEVER_LOADED_FRACTION
        ? evictOldestIdle(neverLoaded, inUse) || evictOldestIdle(loaded, inUse)
        : evictOldestIdle(loaded, inUse) || evictOldestIdle(neverLoaded, inUse);
  }

  private static boolean evictOldestIdle(Map<Long, FunctionState> from, FunctionState inUse) {
    Iterator<FunctionState> oldestFirst = from.values().iterator();
    while (oldestFirst.hasNext()) {
      FunctionState oldest = oldestFirst.next();
      if (oldest != inUse && !oldest.isBusy()) {
        oldestFirst.remove();
        oldest.forgetEstimates();
        return true;
      }
    }
    return false;
  }

  /** Number of functions. */
  int size() {
    return neverLoaded.size() + loaded.size();
  }

  /** Number of estimates of all functions. */
  int estimateCount() {
    return estimates.count();
  }

  /** Passes each estimate, with its function, to the consumer. */
  public void forEachEstimate(BiConsumer<FunctionState, InstanceEstimate> consumer) {
    forEachEstimate(loaded, consumer);
    forEachEstimate(neverLoaded, consumer);
  }

  private static void forEachEstimate(
      Map<Long, FunctionState> functions, BiConsumer<FunctionState, InstanceEstimate> consumer) {
    functions
        .values()
        .forEach(
            function ->
                function.estimates.forEach(estimate -> consumer.accept(function, estimate)));
  }
}
