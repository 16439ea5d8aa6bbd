package flintlead.transport.dial;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * Limits how many connections a gateway has to hosts and how fast it opens new ones. When a zone
 * comes back, every gateway finds its hosts again at the same time, while a host's accept queue
 * holds a few hundred connections: the rate limit (a token bucket) keeps all gateways together
 * within it. Not thread-safe.
 */
public final class ConnectionBudget {

  /**
   * After the system has run out of file descriptors, nothing is opened for this long and idle
   * connections close.
   */
  private static final Span DESCRIPTOR_BACKOFF = Span.ofMillis(200);

  /** How much of a second's dials may be made at once. */
  private static final double BURST_SECONDS = 0.5;

  private static final double MICROS_PER_SECOND = 1e6;

  private final int maxConnections;
  private final double dialsPerSecond;
  private final double burst;
  private double tokens;
  private Moment refilledAt;
  private Moment closedUntil = new Moment(Long.MIN_VALUE);

  /**
   * A budget that is full at first.
   *
   * @param maxConnections connections open or being opened
   * @param dialsPerSecond new connections per second; as many at once as fall into half a second
   */
  public ConnectionBudget(int maxConnections, double dialsPerSecond) {
    this.maxConnections = maxConnections;
    this.dialsPerSecond = dialsPerSecond;
    this.burst = Math.max(1, dialsPerSecond * BURST_SECONDS);
    this.tokens = burst;
  }

  /**
   * Takes a token for one more connection.
   *
   * @param openConnections open or being opened now
   * @return whether it may be opened now
   */
  public boolean tryAcquire(Moment now, int openConnections) {
    if (refilledAt != null) {
      double refill = dialsPerSecond * now.since(refilledAt).micros() / MICROS_PER_SECOND;
      tokens = Math.min(burst, tokens + refill);
    }
    refilledAt = now;
    if (openConnections >= maxConnections || tokens < 1 || now.isBefore(closedUntil)) {
      return false;
    }
    tokens--;
    return true;
  }

  /** The system has run out of file descriptors. */
  public void descriptorsExhausted(Moment now) {
    closedUntil = now.plus(DESCRIPTOR_BACKOFF);
  }

  /**
   * Whether an idle connection should be closed: at the limit, or where the system has run out of
   * descriptors.
   */
  public boolean shouldCloseIdle(Moment now, int openConnections) {
    return openConnections >= maxConnections || now.isBefore(closedUntil);
  }
}
