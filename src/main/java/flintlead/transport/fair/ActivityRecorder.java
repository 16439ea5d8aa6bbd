package flintlead.transport.fair;

import flintlead.time.Span;
import java.util.function.Supplier;

/** Records with whom an event loop spends its time. Not thread-safe. */
public final class ActivityRecorder {

  private static final long NANOS_PER_MICRO = 1_000;

  private long period = 1;
  private Span longestTurn = Span.ZERO;
  private long cutTurns;
  private ServiceAccount busiest;
  private Supplier<String> busiestName;
  private long busiestNanos;

  /**
   * Records that an account was served.
   *
   * @param name of its peer, for logs
   */
  public void served(ServiceAccount account, Supplier<String> name, long nanos) {
    long sum = account.addToPeriod(period, nanos);
    if (sum > busiestNanos) {
      busiest = account;
      busiestName = name;
      busiestNanos = sum;
    }
  }

  /**
   * Records the end of a turn.
   *
   * @param cut whether sockets were left unserved
   */
  public void turnEnded(Span length, boolean cut) {
    longestTurn = Span.longer(longestTurn, length);
    cutTurns += cut ? 1 : 0;
  }

  /** Returns the activity since the last call. */
  public LoopActivity take() {
    LoopActivity activity =
        new LoopActivity(
            longestTurn,
            cutTurns,
            busiest == null ? null : busiestName.get(),
            new Span(busiestNanos / NANOS_PER_MICRO),
            busiest == null ? null : busiest.group().name());
    period++;
    longestTurn = Span.ZERO;
    cutTurns = 0;
    busiest = null;
    busiestName = null;
    busiestNanos = 0;
    return activity;
  }
}
