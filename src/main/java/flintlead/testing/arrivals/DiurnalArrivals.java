package flintlead.testing.arrivals;

import flintlead.time.Span;
import java.util.Random;

/** A Poisson process whose rate is a sine, by thinning. */
final class DiurnalArrivals implements ArrivalProcess {

  private final double perSecond;
  private final double swing;
  private final Span period;
  private final Random random;
  private double micros;

  DiurnalArrivals(double perSecond, double swing, Span period, Random random) {
    this.perSecond = perSecond;
    this.swing = swing;
    this.period = period;
    this.random = random;
  }

  @Override
  public Arrival next(double rateFactor) {
    double maxRate = perSecond * (1 + swing) * rateFactor;
    while (true) {
      micros += Exponential.drawMicros(maxRate, random);
      double rate =
          perSecond * rateFactor * (1 + swing * Math.sin(2 * Math.PI * micros / period.micros()));
      if (random.nextDouble() * maxRate < rate) {
        return new Arrival(new Span((long) micros), -1, 0);
      }
    }
  }
}
