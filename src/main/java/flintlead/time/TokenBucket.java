package flintlead.time;

/** A token bucket: tokens are added at a rate, up to a capacity, and are spent one at a time. */
public final class TokenBucket {

  private static final double MICROS_PER_SECOND = 1e6;

  private double level;
  private Moment refilledAt;

  /** Creates a bucket with that many tokens. */
  public TokenBucket(double level) {
    this.level = level;
  }

  /** Adds the tokens due since the last call; returns whether there is at least one whole token. */
  public boolean refill(Moment now, double perSecond, double capacity) {
    if (refilledAt != null) {
      level += perSecond * now.since(refilledAt).micros() / MICROS_PER_SECOND;
    }
    level = Math.min(capacity, level);
    refilledAt = now;
    return level >= 1;
  }

  /**
   * Spends a token if there is a whole one. The capacity is the tokens of one second, but at least
   * one.
   */
  public boolean tryTake(Moment now, double perSecond) {
    boolean available = refill(now, perSecond, Math.max(1, perSecond));
    if (available) {
      spend();
    }
    return available;
  }

  /** Spends a token even if there is none, in which case the level becomes negative. */
  public void spend() {
    level -= 1;
  }

  /** Adds back a token that was spent on something that did not take place. */
  public void refund() {
    level += 1;
  }
}
