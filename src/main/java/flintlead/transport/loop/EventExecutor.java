package flintlead.transport.loop;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * A clock, timers and a task queue on one thread. What lives on it is called one event at a time,
 * and {@link #now()} does not change from the beginning of an event to its end.
 */
public interface EventExecutor {

  /**
   * The time of the current event, on a monotonic clock that all event loops of a process share.
   */
  Moment now();

  /**
   * Runs a task on this thread at the given time or later, never within this call. From the event
   * loop itself only.
   *
   * @return cancels the task when run, on the event loop itself; without effect once the task has
   *     run
   */
  Runnable scheduleAt(Moment time, Runnable task);

  /** Runs a task as an event of its own, in the order of the calls; from any thread. */
  void execute(Runnable task);

  /**
   * Runs a task after a delay; otherwise as {@link #scheduleAt}.
   *
   * @return cancels the task when run, on the event loop itself
   */
  default Runnable scheduleAfter(Span delay, Runnable task) {
    return scheduleAt(now().plus(delay), task);
  }

  /** How old this loop's knowledge of its sockets is. */
  default PollClock polls() {
    return PollClock.immediate(this);
  }
}
