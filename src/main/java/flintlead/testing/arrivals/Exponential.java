package flintlead.testing.arrivals;

import java.util.Random;

/** Draws exponentially distributed intervals. */
final class Exponential {

  static final double MICROS_PER_SECOND = 1e6;

  private Exponential() {}

  /** The microseconds to the next event of a Poisson process. */
  static double drawMicros(double perSecond, Random random) {
    return -Math.log(1 - random.nextDouble()) / perSecond * MICROS_PER_SECOND;
  }
}
