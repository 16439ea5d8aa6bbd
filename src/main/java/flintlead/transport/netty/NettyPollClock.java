package flintlead.transport.netty;

import flintlead.time.Moment;
import flintlead.transport.loop.PollClock;
import flintlead.transport.loop.PollHistory;
import java.util.ArrayDeque;
import java.util.Queue;

/** The {@link PollClock} of a {@link NettyEventLoop}. Used on its thread only. */
final class NettyPollClock implements PollClock {

  private record DeferredTask(long afterPoll, Runnable task) {}

  private final PollHistory history;
  private final Queue<DeferredTask> deferred = new ArrayDeque<>();

  NettyPollClock(PollHistory history) {
    this.history = history;
  }

  @Override
  public Moment readClock() {
    return NettyEventLoop.clock();
  }

  @Override
  public Moment deliveredUpTo() {
    return history.deliveredUpTo();
  }

  @Override
  public void afterNextPoll(Runnable task) {
    deferred.add(new DeferredTask(history.number(), task));
  }

  /** Whether a task waits for a poll. */
  boolean hasDeferredTasks() {
    return !deferred.isEmpty();
  }

  /** The next task that has waited for a complete poll; null where there is none. */
  Runnable nextDeferredTask() {
    DeferredTask next = deferred.peek();
    return next != null && next.afterPoll() < history.lastDelivered()
        ? deferred.poll().task()
        : null;
  }
}
