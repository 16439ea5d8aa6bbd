package flintlead.scheduling.state;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * The functions known to a gateway. If there are more than the maximum, the least recently used one
 * with no invocation queued or in flight is evicted.
 */
public final class FunctionTable {

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxFunctions;

  /** Sorted by last use, the least recently used function first. */
  private final Map<Long, FunctionState> functions =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  FunctionTable(int maxFunctions) {
    this.maxFunctions = maxFunctions;
  }

  /** Returns the function with that id; creates it if it is unknown. */
  public FunctionState getOrCreate(long id) {
    FunctionState function = functions.get(id);
    if (function == null) {
      function = new FunctionState(id);
      functions.put(id, function);
      if (functions.size() > maxFunctions) {
        evictLeastRecentlyUsedIdle(function);
      }
    }
    return function;
  }

  private void evictLeastRecentlyUsedIdle(FunctionState created) {
    Iterator<FunctionState> oldestFirst = functions.values().iterator();
    FunctionState oldest = oldestFirst.next();
    while (oldest.isBusy()) {
      oldest = oldestFirst.next();
    }
    if (oldest != created) {
      oldestFirst.remove();
      oldest.forgetEstimates();
    }
  }

  /** Passes each estimate, with its function, to the consumer. */
  public void forEachEstimate(BiConsumer<FunctionState, InstanceEstimate> consumer) {
    functions
        .values()
        .forEach(
            function ->
                function.estimates.forEach(estimate -> consumer.accept(function, estimate)));
  }
}
