package flintlead.transport.loop;

import flintlead.time.Moment;

/** The {@link PollClock} of a loop that nothing can wait unseen for, as in a simulation. */
record ImmediatePollClock(EventExecutor loop) implements PollClock {

  @Override
  public Moment readClock() {
    return loop.now();
  }

  @Override
  public Moment deliveredUpTo() {
    return loop.now();
  }

  @Override
  public void afterNextPoll(Runnable task) {
    loop.scheduleAt(loop.now(), task);
  }
}
