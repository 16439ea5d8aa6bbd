package flintlead.time;

/** A token bucket: tokens come in at a rate, are saved up to a bound, and are spent one by one. */
public final class TokenBucket {

  private static final double MICROS_PER_SECOND = 1e6;

  private double level;
  private Moment refilledAt;

  /** Creates a bucket that holds so many tokens. */
  public TokenBucket(double level) {
    this.level = level;
  }

  /** Adds what has come in since the last call; returns whether there is a whole token. */
  public boolean refill(Moment now, double perSecond, double capacity) {
    if (refilledAt != null) {
      level += perSecond * now.since(refilledAt).micros() / MICROS_PER_SECOND;
    }
    level = Math.min(capacity, level);
    refilledAt = now;
    return level >= 1;
  }

  /** Spends a token if there is a whole one; the capacity is one second's tokens, or one token. */
  public boolean tryTake(Moment now, double perSecond) {
    boolean available = refill(now, perSecond, Math.max(1, perSecond));
    if (available) {
      spend();
    }
    return available;
  }

  /** Spends a token, which may be more than there is. */
  public void spend() {
    level -= 1;
  }

  /** Returns a token that was spent in vain. */
  public void refund() {
    level += 1;
  }
}
