package flintlead.testing.emulator;

import flintlead.transport.loop.EventExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Runs a host's invocations on its cores, as far as its instances have free slots. On the host's
 * loop.
 */
final class InvocationExecutor {

  private final EventExecutor loop;
  private final HostModel model;
  private final SharedCores cores;
  private final ProcessState process;
  private final InstanceLoader loader;
  private int working;
  private int waiting;

  InvocationExecutor(
      EventExecutor loop,
      HostModel model,
      SharedCores cores,
      ProcessState process,
      InstanceLoader loader) {
    this.loop = loop;
    this.model = model;
    this.cores = cores;
    this.process = process;
    this.loader = loader;
  }

  int working() {
    return working;
  }

  int waiting() {
    return waiting;
  }

  boolean isQueueFull() {
    return waiting >= model.queueCapacity();
  }

  /** The process has ended, and everything with it. */
  void clear() {
    cores.clear();
    working = 0;
    waiting = 0;
  }

  void enqueue(EmulatedInvocation invocation) {
    waiting++;
    invocation.instances.queue.add(invocation);
  }

  /** It is not answered; it does not run if it waits. */
  void cancel(EmulatedInvocation invocation) {
    invocation.cancelled = true;
    waiting -= invocation.instances.queue.remove(invocation) ? 1 : 0;
  }

  /** Removes and returns all that wait for instances of a function. */
  List<EmulatedInvocation> drainQueue(FunctionInstances instances) {
    List<EmulatedInvocation> drained = new ArrayList<>(instances.queue);
    instances.queue.clear();
    waiting -= drained.size();
    return drained;
  }

  /** Starts what waits, as far as there are free slots. */
  void startQueued(FunctionInstances instances) {
    while (!instances.queue.isEmpty() && instances.hasFreeSlot()) {
      waiting--;
      start(instances.queue.poll());
    }
  }

  void start(EmulatedInvocation invocation) {
    invocation.instances.working++;
    working++;
    BooleanSupplier stillRunning = process.stillRunning();
    cores.run(
        invocation.arrival.workMs,
        () -> {
          if (stillRunning.getAsBoolean()) {
            finished(invocation);
          }
        });
  }

  private void finished(EmulatedInvocation invocation) {
    FunctionInstances instances = invocation.instances;
    instances.working--;
    working--;
    instances.usedAt = loop.now();
    invocation.arrival.executedAt = loop.now();
    if (!invocation.cancelled) {
      invocation.connection.sendResult(invocation);
    }
    startQueued(instances);
    BooleanSupplier notRestarted = process.notRestarted();
    loop.scheduleAfter(
        model.instanceKeepAlive(),
        () -> {
          if (notRestarted.getAsBoolean() && hasBeenIdle(instances)) {
            loader.unload(instances);
          }
        });
  }

  private boolean hasBeenIdle(FunctionInstances instances) {
    return instances.working == 0
        && instances.loaded > 0
        && !loop.now().since(instances.usedAt).isShorterThan(model.instanceKeepAlive());
  }
}
