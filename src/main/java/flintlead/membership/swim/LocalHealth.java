package flintlead.membership.swim;

import flintlead.time.Span;

/**
 * How far a member doubts itself (Lifeguard, "local health multiplier"): each step stretches its
 * probe times, as probes without answers may be its own fault. Not thread-safe.
 */
final class LocalHealth {

  private static final int WORST = 8;

  private int score;

  /** 0 when healthy, up to the worst. */
  int score() {
    return score;
  }

  void improve() {
    score = Math.max(0, score - 1);
  }

  void worsen(int steps) {
    score = Math.min(WORST, score + steps);
  }

  /** A time of the probe schedule, as long as it is at the present health. */
  Span stretch(Span time) {
    return time.times(1 + score);
  }
}
