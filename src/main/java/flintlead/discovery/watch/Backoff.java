package flintlead.discovery.watch;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.Random;

/**
 * Exponential backoff with full jitter (Brooker, "Exponential Backoff And Jitter", 2015) for
 * requests to a registry.
 *
 * <p>Hundreds of gateways lose a registry in the same moment. Each draws its wait evenly from zero
 * to a bound that doubles with every failure in a row. Full reads are the most expensive requests
 * for a registry, so a token bucket limits them further.
 *
 * <p>No input or output, no clock. Not thread-safe: used on the loop of its watcher.
 */
public final class Backoff {

  /**
   * Bound of the first wait: 300 gateways that share it send 300 requests a second, not 300 at
   * once.
   */
  private static final Span INITIAL_BOUND = Span.ofMillis(1_000);

  private static final Span MAX_BOUND = Span.ofMillis(15_000);

  /** Doublings after which the bound is above {@link #MAX_BOUND} in any case. */
  private static final int MAX_DOUBLINGS = 10;

  /** Capacity of the bucket of full reads, and the span in which it gains one token. */
  private static final double FULL_READ_CAPACITY = 2;

  private static final Span FULL_READ_INTERVAL = Span.ofMillis(5_000);

  private final Random random;
  private int consecutiveFailures;
  private double fullReadTokens = FULL_READ_CAPACITY;

  /** When the bucket was last refilled; null before the first full read. */
  private Moment refilledAt;

  private Moment notBefore = new Moment(Long.MIN_VALUE);

  /** Creates a backoff without any failure so far, which draws its waits from {@code random}. */
  public Backoff(Random random) {
    this.random = random;
  }

  /**
   * Records a failed request.
   *
   * @param fullRead whether the next request will be a full read
   * @return the earliest moment of the next request
   */
  public Moment recordFailure(Moment now, boolean fullRead) {
    Span bound =
        Span.shorter(
            MAX_BOUND, INITIAL_BOUND.times(1L << Math.min(consecutiveFailures, MAX_DOUBLINGS)));
    consecutiveFailures++;
    Span wait = bound.times(random.nextDouble());
    if (fullRead) {
      wait = Span.longer(wait, takeFullReadToken(now));
    }
    notBefore = now.plus(wait);
    return notBefore;
  }

  /**
   * Takes a token for a full read; the bucket may go into debt. Returns the wait that the debt asks
   * for, zero without debt.
   */
  private Span takeFullReadToken(Moment now) {
    if (refilledAt != null) {
      fullReadTokens =
          Math.min(
              FULL_READ_CAPACITY,
              fullReadTokens + now.since(refilledAt).ratioTo(FULL_READ_INTERVAL));
    }
    refilledAt = now;
    fullReadTokens -= 1;
    return fullReadTokens < 0
        ? FULL_READ_INTERVAL.times(-fullReadTokens * (1 + random.nextDouble()))
        : Span.ZERO;
  }

  /** Records a request that succeeded: the next failure begins with the shortest bound again. */
  public void recordSuccess() {
    consecutiveFailures = 0;
  }

  /** Returns the earliest moment of the next request, as of the last failure. */
  public Moment notBefore() {
    return notBefore;
  }

  /** Returns the number of failures since the last success. */
  public int consecutiveFailures() {
    return consecutiveFailures;
  }
}
