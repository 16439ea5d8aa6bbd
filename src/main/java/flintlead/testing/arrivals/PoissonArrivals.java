package flintlead.testing.arrivals;

import flintlead.time.Span;
import java.util.Random;

/** Independent arrivals at a constant rate. */
final class PoissonArrivals implements ArrivalProcess {

  private final double perSecond;
  private final Random random;
  private double micros;

  PoissonArrivals(double perSecond, Random random) {
    this.perSecond = perSecond;
    this.random = random;
  }

  @Override
  public Arrival next(double rateFactor) {
    micros += Exponential.drawMicros(perSecond * rateFactor, random);
    return new Arrival(new Span((long) micros), -1, 0);
  }
}
