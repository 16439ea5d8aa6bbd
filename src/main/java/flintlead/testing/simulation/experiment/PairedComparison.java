package flintlead.testing.simulation.experiment;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Random;
import org.apache.commons.statistics.descriptive.DoubleStatistics;
import org.apache.commons.statistics.descriptive.Statistic;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * The difference of a metric between two arms that ran the same seeds: by pairs, so that what the
 * runs of one seed have in common cancels out.
 *
 * @param pairs number of seeds
 * @param first mean of the first arm
 * @param second mean of the second arm
 * @param difference mean difference, second less first
 * @param low lower end of the 95% interval of the mean difference by Student's t
 * @param high upper end of it
 * @param bootstrapLow lower end of the same by the percentile bootstrap (Efron and Tibshirani,
 *     1993, ch. 13), which assumes no normal distribution; where the two intervals differ much, the
 *     few runs that make the difference should be looked at
 * @param bootstrapHigh upper end of it
 * @param above pairs in which the second is above the first
 * @param below pairs in which it is below
 */
public record PairedComparison(
    int pairs,
    double first,
    double second,
    double difference,
    double low,
    double high,
    double bootstrapLow,
    double bootstrapHigh,
    int above,
    int below) {

  private static final double CONFIDENCE = 0.95;
  private static final double TAIL = (1 - CONFIDENCE) / 2;
  private static final int RESAMPLES = 4_000;

  private record Interval(double low, double high) {}

  /**
   * Compares two arms.
   *
   * @param first values of the first arm by seed
   * @param second of the second, the same seeds in the same order
   * @param seed of the resampling
   */
  public static PairedComparison of(double[] first, double[] second, long seed) {
    if (first.length != second.length || first.length == 0) {
      throw new IllegalArgumentException(
          "pairs are needed, not " + first.length + " and " + second.length + " outcomes");
    }
    double[] differences = new double[first.length];
    int above = 0;
    int below = 0;
    for (int i = 0; i < first.length; i++) {
      differences[i] = second[i] - first[i];
      above += differences[i] > 0 ? 1 : 0;
      below += differences[i] < 0 ? 1 : 0;
    }
    DoubleStatistics statistics =
        DoubleStatistics.of(EnumSet.of(Statistic.MEAN, Statistic.STANDARD_DEVIATION), differences);
    double mean = statistics.getAsDouble(Statistic.MEAN);
    double half = halfWidth(statistics.getAsDouble(Statistic.STANDARD_DEVIATION), first.length);
    Interval bootstrap = bootstrap(differences, new Random(seed));
    return new PairedComparison(
        first.length,
        Arrays.stream(first).average().orElseThrow(),
        Arrays.stream(second).average().orElseThrow(),
        mean,
        mean - half,
        mean + half,
        bootstrap.low,
        bootstrap.high,
        above,
        below);
  }

  /** Half the width of Student's interval of a mean; infinite for a single value. */
  private static double halfWidth(double standardDeviation, int n) {
    if (n == 1) {
      return Double.POSITIVE_INFINITY;
    }
    return TDistribution.of(n - 1).inverseSurvivalProbability(TAIL)
        * standardDeviation
        / Math.sqrt(n);
  }

  private static Interval bootstrap(double[] values, Random random) {
    double[] means = new double[RESAMPLES];
    for (int i = 0; i < RESAMPLES; i++) {
      double sum = 0;
      for (int j = 0; j < values.length; j++) {
        sum += values[random.nextInt(values.length)];
      }
      means[i] = sum / values.length;
    }
    Arrays.sort(means);
    return new Interval(means[(int) (TAIL * RESAMPLES)], means[(int) ((1 - TAIL) * RESAMPLES) - 1]);
  }

  /** Whether the interval leaves out zero. */
  public boolean isSignificant() {
    return low > 0 || high < 0;
  }
}
