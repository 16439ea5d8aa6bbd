package flintlead.gateway;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * The last line of defence, every {@link #INTERVAL} while anything is open: fails invocations past
 * their time, withdraws attempts past theirs, and checks the connections.
 */
final class Housekeeping {

  private static final Span INTERVAL = Span.ofMillis(20);

  /** Links to listed hosts are checked in each so many runs: what is looked for takes seconds. */
  private static final int LINK_CHECK_EVERY = 5;

  private final EventTimers timers;
  private final InvocationService invocations;
  private final AttemptDispatcher attempts;
  private final HostLinks links;
  private long runs;
  private boolean scheduled;

  Housekeeping(
      EventTimers timers,
      InvocationService invocations,
      AttemptDispatcher attempts,
      HostLinks links) {
    this.timers = timers;
    this.invocations = invocations;
    this.attempts = attempts;
    this.links = links;
  }

  /** Schedules the next run, unless one is scheduled. */
  void schedule() {
    if (scheduled || timers.isClosed()) {
      return;
    }
    scheduled = true;
    // After a stall the scheduler's own timers, due later than this one, must go first: they know
    // better. So the run is an event of its own behind them.
    timers.loop().scheduleAfter(INTERVAL, () -> scheduleRun(timers.now()));
  }

  private void scheduleRun(Moment asOf) {
    timers
        .loop()
        .scheduleAt(
            asOf,
            () -> {
              scheduled = false;
              run(asOf);
            });
  }

  /**
   * Runs once.
   *
   * @param asOf all timers that were due by then have run
   */
  private void run(Moment asOf) {
    if (timers.isClosed()) {
      return;
    }
    try {
      invocations.failOverdue(asOf);
      attempts.withdrawOverdue();
      if (runs++ % LINK_CHECK_EVERY == 0) {
        links.checkListed(timers.now());
      }
      links.checkRetiring(timers.now());
    } finally {
      if (!invocations.all().isEmpty() || links.hasRetiring()) {
        schedule();
      }
    }
  }
}
