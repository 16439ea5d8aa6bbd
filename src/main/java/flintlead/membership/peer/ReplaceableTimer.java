package flintlead.membership.peer;

import flintlead.time.Moment;
import flintlead.transport.loop.EventExecutor;

/**
 * Runs a task at a moment, one at a time: a new moment replaces the last. Used on its event loop.
 */
final class ReplaceableTimer {

  private final EventExecutor loop;
  private final Runnable task;

  /** Cancels the pending run; null where there is none. */
  private Runnable cancellation;

  ReplaceableTimer(EventExecutor loop, Runnable task) {
    this.loop = loop;
    this.task = task;
  }

  void schedule(Moment when) {
    if (cancellation != null) {
      cancellation.run();
    }
    cancellation =
        loop.scheduleAt(
            when,
            () -> {
              cancellation = null;
              task.run();
            });
  }
}
