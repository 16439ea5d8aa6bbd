package flintlead.gateway;

import flintlead.time.Moment;
import flintlead.transport.loop.EventExecutor;

/** The clock and timers of one gateway; a timer that comes due after the close does nothing. */
final class EventTimers {

  private final EventExecutor loop;
  private boolean closed;

  EventTimers(EventExecutor loop) {
    this.loop = loop;
  }

  /** The loop itself, whose timers run after the close too. */
  EventExecutor loop() {
    return loop;
  }

  /** The time of the event under way. */
  Moment now() {
    return loop.now();
  }

  /** Runs the task at the moment, never within this call; returns what cancels it. */
  Runnable at(Moment when, Runnable task) {
    return loop.scheduleAt(
        when,
        () -> {
          if (!closed) {
            task.run();
          }
        });
  }

  /** Runs the task in an event of its own, as soon as may be. */
  void later(Runnable task) {
    at(now(), task);
  }

  boolean isClosed() {
    return closed;
  }

  /** Runs no timers from now on. */
  void close() {
    closed = true;
  }
}
