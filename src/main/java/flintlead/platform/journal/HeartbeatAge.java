package flintlead.platform.journal;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * Computes how early the heartbeats of one connection can have been written. They carry no time,
 * and a slow network or service may deliver them late. The first one cannot have been written
 * before it was requested, and each further one not within a second of the one before it.
 */
final class HeartbeatAge {

  /**
   * The service writes a heartbeat each second. The interval is slightly longer, so that a service
   * with a slower clock is not taken for a late one.
   */
  private static final Span INTERVAL = Span.ofMillis(1_050);

  private Moment earliest;

  /**
   * Creates an instance for a connection on which nothing has arrived.
   *
   * @param requestedAt when the heartbeats were requested
   */
  HeartbeatAge(Moment requestedAt) {
    this.earliest = requestedAt.minus(INTERVAL);
  }

  /**
   * Returns the earliest time at which the heartbeat that arrives now can have been written. Must
   * be called for each heartbeat, in their order.
   */
  Moment earliestWriteTime(Moment arrivedAt) {
    earliest = Moment.earlier(arrivedAt, earliest.plus(INTERVAL));
    return earliest;
  }
}
