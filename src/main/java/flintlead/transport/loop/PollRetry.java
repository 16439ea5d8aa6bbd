package flintlead.transport.loop;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * Runs a task after the next poll of the sockets, when asked for, and at most once in each
 * interval: what it waits for may take many polls, and must not keep the event loop busy until
 * then. Used on the event loop only.
 */
public final class PollRetry {

  private static final Span MIN_INTERVAL = Span.ofMillis(1);

  private final EventExecutor loop;
  private final Runnable task;
  private boolean scheduled;

  /** When the task last ran; null if it has not yet. */
  private Moment ranAt;

  /** Creates one for the task. */
  public PollRetry(EventExecutor loop, Runnable task) {
    this.loop = loop;
    this.task = task;
  }

  /** Has the task run after the next poll; without effect if it is due already. */
  public void schedule() {
    if (scheduled) {
      return;
    }
    scheduled = true;
    Moment now = loop.now();
    if (ranAt != null && now.since(ranAt).isShorterThan(MIN_INTERVAL)) {
      loop.scheduleAfter(MIN_INTERVAL, this::afterNextPoll);
    } else {
      afterNextPoll();
    }
  }

  private void afterNextPoll() {
    loop.polls()
        .afterNextPoll(
            () -> {
              scheduled = false;
              ranAt = loop.now();
              task.run();
            });
  }
}
