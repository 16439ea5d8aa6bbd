package flintlead.scheduling.state;

import flintlead.time.Moment;
import flintlead.time.Span;

/** The highest mean rate of events in the current and the previous measuring window. */
public final class PeakRate {

  private static final double MICROS_PER_SECOND = 1e6;

  private final Span minWindow;
  private final Span maxWindow;
  private Moment windowStart;
  private int events;
  private double peak;
  private double previousPeak;

  /**
   * Creates a rate with no events.
   *
   * @param minWindow minimum time that events are averaged over
   * @param maxWindow time after which a new window begins, so that a former peak expires
   */
  public PeakRate(Moment start, Span minWindow, Span maxWindow) {
    this.windowStart = start;
    this.minWindow = minWindow;
    this.maxWindow = maxWindow;
  }

  /** Counts an event at the given time. */
  public void record(Moment now) {
    events++;
    Span elapsed = Span.longer(now.since(windowStart), minWindow);
    peak = Math.max(peak, events * MICROS_PER_SECOND / elapsed.micros());
    if (elapsed.isLongerThan(maxWindow)) {
      previousPeak = peak;
      peak = 0;
      events = 0;
      windowStart = now;
    }
  }

  /** Returns the peak rate in events per second. */
  public double perSecond() {
    return Math.max(peak, previousPeak);
  }
}
