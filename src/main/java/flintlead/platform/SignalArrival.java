package flintlead.platform;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * Determines the earliest time at which a signal may have been sent. A signal that arrives while
 * the process is stalled is delivered only when the process runs again, so its sender may have been
 * waiting since the stall began. Pure and not thread-safe.
 */
final class SignalArrival {

  /** Maximum time from the end of a stall until a signal sent during it has been handled. */
  private static final Span MAX_DELIVERY_TIME = Span.ofMillis(250);

  private Moment stallStartedAt;
  private Moment stallEndedAt;

  /**
   * Records that the process was stalled.
   *
   * @param ended when it ran again
   * @param length how long it was stalled
   */
  void recordStall(Moment ended, Span length) {
    Moment startedAt = ended.minus(length);
    if (!isRecent(startedAt)) {
      stallStartedAt = startedAt;
    }
    stallEndedAt = ended;
  }

  /**
   * Returns the earliest time at which a signal that was handled at this time may have been sent.
   */
  Moment earliestSentAt(Moment handled) {
    return isRecent(handled) ? Moment.earlier(stallStartedAt, handled) : handled;
  }

  /** Whether the time is at most {@link #MAX_DELIVERY_TIME} after the end of the last stall. */
  private boolean isRecent(Moment time) {
    return stallEndedAt != null && !time.since(stallEndedAt).isLongerThan(MAX_DELIVERY_TIME);
  }
}
