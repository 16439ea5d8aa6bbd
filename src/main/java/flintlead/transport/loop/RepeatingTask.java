package flintlead.transport.loop;

import flintlead.time.Span;

/**
 * A task that is run again and again, each time an interval after it last ended. An exception of
 * the task goes to the event loop and does not end the repetition. Used on the event loop only.
 */
public final class RepeatingTask {

  private final EventExecutor loop;
  private final Span interval;
  private final Runnable task;
  private boolean cancelled;

  private RepeatingTask(EventExecutor loop, Span interval, Runnable task) {
    this.loop = loop;
    this.interval = interval;
    this.task = task;
  }

  /** Runs the task every interval, the first time after one interval. */
  public static RepeatingTask start(EventExecutor loop, Span interval, Runnable task) {
    RepeatingTask repeating = new RepeatingTask(loop, interval, task);
    repeating.scheduleNext();
    return repeating;
  }

  private void scheduleNext() {
    loop.scheduleAfter(interval, this::run);
  }

  private void run() {
    if (cancelled) {
      return;
    }
    try {
      task.run();
    } finally {
      scheduleNext();
    }
  }

  /** Ends the repetition. */
  public void cancel() {
    cancelled = true;
  }
}
