package flintlead.testing.arrivals;

import flintlead.time.Span;
import java.util.Random;

/**
 * When invocations arrive. A process is drawn one arrival after the other, whatever becomes of
 * those before (open loop), and is a function of its seed. Not thread-safe.
 */
public interface ArrivalProcess {

  /**
   * One arrival.
   *
   * @param at since the beginning of the process
   * @param function its number; -1 where the process does not say
   * @param workMs in milliseconds on a core of speed 1; 0 where the process does not say
   */
  record Arrival(Span at, int function, double workMs) {}

  /**
   * The next arrival.
   *
   * @param rateFactor the current traffic as a multiple of the usual; a process from a file ignores
   *     it
   * @return null where there are no more
   */
  Arrival next(double rateFactor);

  /** Independent arrivals at a constant rate (Kingman, Poisson Processes, 1993). */
  static ArrivalProcess poisson(double perSecond, Random random) {
    return new PoissonArrivals(perSecond, random);
  }

  /**
   * Bursts: a Markov-modulated Poisson process of two states (Fischer and Meier-Hellstern, 1993).
   *
   * @param perSecond the mean rate over both states
   * @param factor how many times the rate of the calm state the burst state has
   * @param calm mean length of the calm state
   * @param burst mean length of the burst state
   */
  static ArrivalProcess bursts(
      double perSecond, double factor, Span calm, Span burst, Random random) {
    return new BurstArrivals(perSecond, factor, calm, burst, random);
  }

  /**
   * Up and down as over a day: a Poisson process whose rate is a sine, by thinning (Lewis and
   * Shedler, 1979).
   *
   * @param perSecond the mean rate
   * @param swing amplitude of the rate as a share of its mean, 0 to 1
   * @param period of one day
   */
  static ArrivalProcess diurnal(double perSecond, double swing, Span period, Random random) {
    return new DiurnalArrivals(perSecond, swing, period, random);
  }
}
