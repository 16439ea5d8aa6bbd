package flintlead.scheduling.state;

import flintlead.time.Moment;
import flintlead.time.Span;

/** A limit with additive increase and multiplicative decrease (AIMD; Chiu and Jain, 1989). */
public final class AimdLimit {

  private final double min;
  private final double max;
  private double value;
  private Moment decreasedAt = Moment.START;

  /** Creates a limit that stays between {@code min} and {@code max}. */
  public AimdLimit(double initial, double min, double max) {
    this.value = initial;
    this.min = min;
    this.max = max;
  }

  /** Returns the current limit. */
  public double value() {
    return value;
  }

  /**
   * Resets the limit to its initial value. The time of the last decrease is kept, so the minimum
   * interval between decreases still holds.
   */
  void reset(double initial) {
    value = initial;
  }

  /**
   * Raises the limit by {@code step} divided by the limit, so that a full round of answers, as many
   * as the limit, raises it by about {@code step}.
   */
  public void increase(double step) {
    value = Math.min(max, value + step / value);
  }

  /**
   * Multiplies the part of the limit that is in use by {@code factor}. Does nothing within {@code
   * interval} of the last decrease.
   */
  public void decrease(Moment now, Span interval, double inUse, double factor) {
    if (now.since(decreasedAt).isLongerThan(interval)) {
      value = Math.max(min, Math.min(value, inUse) * factor);
      decreasedAt = now;
    }
  }

  /** Lowers the limit to the part that is in use, but not below the minimum. */
  public void cap(double inUse) {
    value = Math.max(min, Math.min(value, inUse));
  }
}
