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
  private static final Span DELIVERY = Span.ofMillis(250);

  private Moment standstillBegan;
  private Moment standstillEnded;

  /**
   * Records that the process was stalled.
   *
   * @param ended when it ran again
   * @param length how long it was stalled
   */
  void stoodStill(Moment ended, Span length) {
    Moment began = ended.minus(length);
    if (!isRecent(began)) {
      standstillBegan = began;
    }
    standstillEnded = ended;
  }

  /**
   * Returns the earliest time at which a signal that was handled at this time may have been sent.
   */
  Moment earliest(Moment handled) {
    return isRecent(handled) ? Moment.earlier(standstillBegan, handled) : handled;
  }

  /** Whether a signal handled at this time may have been sent during the last stall. */
  private boolean isRecent(Moment time) {
    return standstillEnded != null && !time.since(standstillEnded).isLongerThan(DELIVERY);
  }
}
