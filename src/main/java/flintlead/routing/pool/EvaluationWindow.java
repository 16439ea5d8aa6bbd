package flintlead.routing.pool;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * Statistics of the responses to a pool's own invocations since the pool was last evaluated.
 * Invocations spilled in from other pools are excluded: they may be slow because their instances
 * have to load first. Not thread-safe.
 */
final class EvaluationWindow {

  /** Shortest time between two evaluations of a pool. */
  static final Span INTERVAL = Span.ofMillis(200);

  private static final int MIN_RESPONSES = 10;

  /**
   * Longest time for which a window with fewer than {@link #MIN_RESPONSES} responses waits for
   * more.
   */
  private static final Span MAX_WAIT = Span.ofMillis(5_000);

  private int responses;
  private int successes;
  private double relativeLatencySum;
  private Moment start;

  EvaluationWindow(Moment start) {
    this.start = start;
  }

  /**
   * @param relativeLatency time to the final response as a share of the latency objective; a
   *     failure counts as 1
   */
  void record(boolean succeeded, double relativeLatency) {
    responses++;
    successes += succeeded ? 1 : 0;
    relativeLatencySum += succeeded ? Math.min(1, relativeLatency) : 1;
  }

  /** Time since the last evaluation. */
  Span elapsed(Moment now) {
    return now.since(start);
  }

  /**
   * Whether the pool should be evaluated now.
   *
   * @param mayWait whether a window with too few responses may wait for more
   */
  boolean isDue(Moment now, boolean mayWait) {
    Span elapsed = elapsed(now);
    boolean tooFew = responses > 0 && responses < MIN_RESPONSES && elapsed.isShorterThan(MAX_WAIT);
    return !elapsed.isShorterThan(INTERVAL) && !(tooFew && mayWait);
  }

  /** Share of the responses that were failures; NaN without any response. */
  double failureRate() {
    return responses == 0 ? Double.NaN : 1 - (double) successes / responses;
  }

  /** Mean of the relative latencies, from 0 to 1; 0 without any response. */
  double meanRelativeLatency() {
    return responses == 0 ? 0 : relativeLatencySum / responses;
  }

  /** Starts the next window. */
  void reset(Moment now) {
    responses = 0;
    successes = 0;
    relativeLatencySum = 0;
    start = now;
  }
}
