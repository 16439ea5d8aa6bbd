package flintlead.transport.loop;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * How old what one socket delivers may be. What a standstill has left there may come in several
 * polls, as a read or an accept may do a part of its work: the polls right after the first one
 * carry its bound on. Pure and not thread-safe.
 */
public final class ArrivalBound {

  /**
   * Polls this close to each other show that the thread ran all the time: what the second one finds
   * is as good as just arrived.
   */
  private static final Span STANDSTILL_THRESHOLD = Span.ofMillis(50);

  /** Polls after a standstill that carry its bound on. */
  private static final int CARRYING_POLLS = 3;

  private Moment carried;
  private long carriedSincePoll;

  /**
   * The earliest time at which what is delivered now may have arrived; the present where there was
   * no standstill.
   *
   * @param poll the number of the poll that delivers it
   * @param lastEmpty when the socket was last known to be empty
   */
  public Moment earliest(long poll, Moment lastEmpty, Moment now) {
    if (carried != null && poll - carriedSincePoll <= CARRYING_POLLS) {
      return carried;
    }
    boolean stale = now.since(lastEmpty).isLongerThan(STANDSTILL_THRESHOLD);
    carried = stale ? lastEmpty : null;
    carriedSincePoll = poll;
    return stale ? lastEmpty : now;
  }

  /** What arrives from now on answers something: it can't be older than the present. */
  public void reset() {
    carried = null;
  }
}
