package flintlead.transport.loop;

import flintlead.time.Moment;

/**
 * How old an event loop's knowledge of its sockets is. A process may stand still at any time (a
 * busy core, a stopped or swapped process, a long collection); what its sockets have received
 * meanwhile is delivered afterwards, in any order, and looks as if it had just come. Timers can't
 * tell: what can is when the sockets were last polled. Used on the event loop only.
 */
public interface PollClock {

  /**
   * The monotonic clock, read anew; {@link EventExecutor#now()} stands still during an event,
   * however long that takes.
   */
  Moment readClock();

  /**
   * The time up to which everything that the sockets had received was delivered, except for what
   * lay behind the bytes of a stream that was read in the last poll; see {@link Stream#quietAt}.
   */
  Moment deliveredUpTo();

  /** Runs the task, as an event of its own, after a poll that begins from now on was delivered. */
  void afterNextPoll(Runnable task);

  /** A clock for loops whose streams deliver in the event in which something happens. */
  static PollClock immediate(EventExecutor loop) {
    return new ImmediatePollClock(loop);
  }
}
