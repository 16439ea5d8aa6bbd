package flintlead.testing.emulator;

import flintlead.transport.loop.EventExecutor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Loads and unloads a host's instances within its memory and its limit of concurrent loads. On the
 * host's loop.
 */
final class InstanceLoader {

  /** The part of a load's time that is the fetch from the store. */
  private static final double FETCH_SHARE = 0.7;

  /** How many loads may be queued, as a multiple of those that run at a time. */
  private static final int QUEUE_MULTIPLE = 2;

  /** Is told how loads end. */
  interface Listener {

    /** One more instance is loaded. */
    void loaded(FunctionInstances instances);

    /** The store refused the fetch. */
    void loadFailed(FunctionInstances instances);
  }

  private final EventExecutor loop;
  private final HostModel model;
  private final FunctionStore store;
  private final ExecutionLog log;
  private final ProcessState process;
  private final Listener listener;
  private final Map<String, FunctionInstances> functions = new LinkedHashMap<>();
  private final Deque<FunctionInstances> queue = new ArrayDeque<>();
  private int running;
  private double memoryUsedMb;

  InstanceLoader(
      EventExecutor loop,
      HostModel model,
      FunctionStore store,
      ExecutionLog log,
      ProcessState process,
      Listener listener) {
    this.loop = loop;
    this.model = model;
    this.store = store;
    this.log = log;
    this.process = process;
    this.listener = listener;
  }

  /** The instances of a function, created empty where the host does not know it. */
  FunctionInstances of(String function) {
    return functions.computeIfAbsent(function, FunctionInstances::new);
  }

  /** The instances of a function; null where the host does not know it. */
  FunctionInstances find(String function) {
    return functions.get(function);
  }

  /** Loads that run or are queued. */
  int pending() {
    return running + queue.size();
  }

  boolean hasMemoryFor(double memoryMb) {
    return memoryUsedMb + memoryMb <= model.memoryMb();
  }

  /** The process has ended, and everything with it. */
  void clear() {
    functions.clear();
    queue.clear();
    running = 0;
    memoryUsedMb = 0;
  }

  // ---- unloading ----

  void unload(FunctionInstances instances) {
    memoryUsedMb -= instances.loaded * instances.memoryMb;
    instances.loaded = 0;
  }

  /** Unloads all instances that are idle. */
  void unloadIdle() {
    for (FunctionInstances each : functions.values()) {
      int idle = each.idle();
      each.loaded -= idle;
      memoryUsedMb -= idle * each.memoryMb;
    }
  }

  /** The function with instances and nothing to do that was unused for longest; null for none. */
  private FunctionInstances leastRecentlyUsed() {
    FunctionInstances oldest = null;
    for (FunctionInstances each : functions.values()) {
      if (each.loaded > 0
          && each.isUnused()
          && (oldest == null || each.usedAt.isBefore(oldest.usedAt))) {
        oldest = each;
      }
    }
    return oldest;
  }

  // ---- loading ----

  /** Begins a load or queues it; returns false where there is no room for it. */
  boolean load(FunctionInstances instances) {
    while (!hasMemoryFor(instances.memoryMb)) {
      FunctionInstances victim = leastRecentlyUsed();
      if (victim == null) {
        return false;
      }
      unload(victim);
    }
    if (running >= model.concurrentLoads()
        && queue.size() >= QUEUE_MULTIPLE * model.concurrentLoads()) {
      return false;
    }
    instances.loading++;
    memoryUsedMb += instances.memoryMb;
    if (running < model.concurrentLoads()) {
      fetch(instances);
    } else {
      queue.add(instances);
    }
    return true;
  }

  private void fetch(FunctionInstances instances) {
    running++;
    log.fetches++;
    BooleanSupplier stillRunning = process.stillRunning();
    store.fetch(
        instances.loadTime.times(FETCH_SHARE),
        served -> {
          if (!stillRunning.getAsBoolean()) {
            return;
          }
          if (!served) {
            loadFailed(instances);
            return;
          }
          loop.scheduleAfter(
              instances.loadTime.times(1 - FETCH_SHARE),
              () -> {
                if (stillRunning.getAsBoolean()) {
                  loaded(instances);
                }
              });
        });
  }

  private void loadEnded(FunctionInstances instances) {
    running--;
    instances.loading--;
    if (!queue.isEmpty()) {
      fetch(queue.poll());
    }
  }

  private void loaded(FunctionInstances instances) {
    loadEnded(instances);
    log.loads++;
    instances.loaded++;
    instances.usedAt = loop.now();
    listener.loaded(instances);
  }

  private void loadFailed(FunctionInstances instances) {
    loadEnded(instances);
    memoryUsedMb -= instances.memoryMb;
    listener.loadFailed(instances);
  }
}
