package flintlead.platform.journal;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * How old the heartbeats of one connection may be when they arrive. They carry no time, and a slow
 * network or service may deliver them late. The first can't have been written before it was asked
 * for, each further one not before a second after the one before it.
 */
final class HeartbeatAge {

  /** The service writes one each second; a little more, so that its clock may be slower. */
  private static final Span INTERVAL = Span.ofMillis(1_050);

  private Moment earliest;

  /** Creates the ages of a connection on which nothing has arrived. */
  HeartbeatAge(Moment askedAt) {
    this.earliest = askedAt.minus(INTERVAL);
  }

  /** The earliest time at which the heartbeat that arrives now may have been written. */
  Moment earliestWriting(Moment arrivedAt) {
    earliest = Moment.earlier(arrivedAt, earliest.plus(INTERVAL));
    return earliest;
  }
}
