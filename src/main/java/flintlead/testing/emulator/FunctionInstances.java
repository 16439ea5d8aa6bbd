package flintlead.testing.emulator;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The instances of one function at an emulated host, and the invocations that wait for them. On the
 * host's loop.
 */
final class FunctionInstances {

  /** Assumed until an invocation says otherwise, in megabytes. */
  static final double DEFAULT_MEMORY_MB = 200;

  private static final Span DEFAULT_LOAD_TIME = Span.ofMillis(300);

  final String function;
  double memoryMb = DEFAULT_MEMORY_MB;
  int slotsPerInstance = 1;
  Span loadTime = DEFAULT_LOAD_TIME;
  int loaded;
  int loading;

  /** Invocations that run. */
  int working;

  /** Invocations that wait for a slot. */
  final Deque<EmulatedInvocation> queue = new ArrayDeque<>();

  final List<PendingLoadOrder> orders = new ArrayList<>();
  Moment usedAt = new Moment(0);

  FunctionInstances(String function) {
    this.function = function;
  }

  int slots() {
    return loaded * slotsPerInstance;
  }

  boolean hasFreeSlot() {
    return working < slots();
  }

  boolean isUnused() {
    return working == 0 && queue.isEmpty();
  }

  /** Invocations that run or wait. */
  int concurrency() {
    return working + queue.size();
  }

  /** Instances that no running invocation needs. */
  int idle() {
    int needed = (working + slotsPerInstance - 1) / slotsPerInstance;
    return Math.max(0, loaded - needed);
  }
}
