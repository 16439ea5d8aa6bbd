package flintlead.membership.swim;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.HashSet;
import java.util.Set;

/**
 * How long a suspect has to refute the suspicion (Lifeguard 3.2): long while only one member
 * suspects it, which may be the slow one itself; shorter with each other member that suspects it
 * independently. Not thread-safe.
 */
final class Suspicion {

  private final Set<String> accusers = new HashSet<>();
  private final int requiredConfirmations;
  private final Span minTimeout;
  private final Span maxTimeout;
  private Moment start;

  /**
   * @param accuser the first member to suspect it
   * @param requiredConfirmations other members whose suspicion shortens the timeout to the shortest
   */
  Suspicion(
      Moment now, String accuser, int requiredConfirmations, Span minTimeout, Span maxTimeout) {
    this.start = now;
    this.requiredConfirmations = requiredConfirmations;
    this.minTimeout = minTimeout;
    this.maxTimeout = maxTimeout;
    accusers.add(accuser);
  }

  /** Adds a member that suspects it independently; whether it is a new one that counts. */
  boolean confirm(String accuser) {
    return accusers.size() <= requiredConfirmations && accusers.add(accuser);
  }

  /** When the suspect is declared dead. */
  Moment deadline() {
    if (requiredConfirmations < 1) {
      return start.plus(minTimeout);
    }
    double progress =
        Math.min(1, Math.log(accusers.size()) / Math.log(requiredConfirmations + 1.0));
    Span reduction = maxTimeout.minus(minTimeout).times(progress);
    return start.plus(Span.longer(minTimeout, maxTimeout.minus(reduction)));
  }

  /**
   * Extends the time by that in which this process stood still: it could not have received a
   * refutation.
   */
  void extend(Span stalled) {
    start = start.plus(stalled);
  }
}
