package flintlead.testing.arrivals;

import flintlead.time.Span;
import java.util.Random;

/** A Markov-modulated Poisson process of two states, calm and burst. */
final class BurstArrivals implements ArrivalProcess {

  private final double calmPerSecond;
  private final double factor;
  private final Span calm;
  private final Span burst;
  private final Random random;
  private double micros;
  private boolean inBurst;
  private double stateEndsAtMicros;

  BurstArrivals(double perSecond, double factor, Span calm, Span burst, Random random) {
    double burstShare = burst.ratioTo(calm.plus(burst));
    this.calmPerSecond = perSecond / (1 - burstShare + burstShare * factor);
    this.factor = factor;
    this.calm = calm;
    this.burst = burst;
    this.random = random;
    this.stateEndsAtMicros = drawLength(calm);
  }

  private double drawLength(Span mean) {
    return Exponential.drawMicros(Exponential.MICROS_PER_SECOND / mean.micros(), random);
  }

  @Override
  public Arrival next(double rateFactor) {
    while (true) {
      double perSecond = calmPerSecond * (inBurst ? factor : 1) * rateFactor;
      double next = micros + Exponential.drawMicros(perSecond, random);
      if (next <= stateEndsAtMicros) {
        micros = next;
        return new Arrival(new Span((long) micros), -1, 0);
      }
      // The process has no memory: what is left of the interval is drawn again at the other rate.
      micros = stateEndsAtMicros;
      inBurst = !inBurst;
      stateEndsAtMicros += drawLength(inBurst ? burst : calm);
    }
  }
}
