package flintlead.testing.arrivals;

import flintlead.configuration.yaml.YamlSection;
import java.util.Random;
import java.util.SplittableRandom;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.statistics.distribution.ContinuousDistribution;
import org.apache.commons.statistics.distribution.GammaDistribution;
import org.apache.commons.statistics.distribution.LogNormalDistribution;
import org.apache.commons.statistics.distribution.ParetoDistribution;

/**
 * How much work an invocation is, in milliseconds on a core of speed 1.
 *
 * @param meanMs over all invocations
 * @param variation coefficient of variation of one function's work
 * @param variationAcrossFunctions coefficient of variation of the functions' means
 */
public record WorkModel(
    Shape shape, double meanMs, double variation, double variationAcrossFunctions) {

  /** The distributions of one function's work. The names, in lower case, are those of files. */
  public enum Shape {
    /** Always the mean. */
    FIXED,
    /** Gamma distribution. */
    GAMMA,
    /** Log-normal distribution. */
    LOGNORMAL,
    /** Pareto distribution. */
    PARETO
  }

  /** Draws work. */
  public interface WorkSampler {

    /** The work of an invocation of a function, in milliseconds on a core of speed 1. */
    double sample(int function);
  }

  /** Reads the section {@code work} of a scenario file; what is wrong is collected. */
  public static WorkModel read(YamlSection section, double defaultMeanMs) {
    WorkModel work =
        new WorkModel(
            section.enumValue("shape", Shape.GAMMA),
            section.number("meanMs", defaultMeanMs, 0.001, 1e6),
            section.number("spread", 0.5, 0.001, 20),
            section.number("acrossFunctions", 0, 0, 20));
    section.rejectUnknownKeys();
    return work;
  }

  /**
   * A sampler of work.
   *
   * @param seed of the functions' means, which depend on nothing else
   * @param random of the work about the means
   */
  public WorkSampler sampler(long seed, Random random) {
    ContinuousDistribution.Sampler relative = relativeWork(random::nextLong);
    if (variationAcrossFunctions == 0) {
      return function -> meanMs * relative.sample();
    }
    LogNormalDistribution means = logNormal(variationAcrossFunctions);
    return function ->
        meanMs * relative.sample() * means.inverseCumulativeProbability(quantile(seed, function));
  }

  /** The quantile of a function's mean, without the tails. */
  private static double quantile(long seed, int function) {
    // Random's first draws from neighbouring seeds are alike; this one's are not.
    return 0.0005 + 0.999 * new SplittableRandom(seed * 1_000_003 + function).nextDouble();
  }

  /** The distribution of one function's work about its mean, relative to it. */
  private ContinuousDistribution.Sampler relativeWork(UniformRandomProvider source) {
    return switch (shape) {
      case FIXED -> () -> 1;
      case GAMMA ->
          GammaDistribution.of(1 / (variation * variation), variation * variation)
              .createSampler(source);
      case LOGNORMAL -> logNormal(variation).createSampler(source);
      case PARETO -> {
        // The shape with that variation: 1 + sqrt(1 + 1/cv^2), always above 2, so that both moments
        // exist.
        double k = 1 + Math.sqrt(1 + 1 / (variation * variation));
        yield ParetoDistribution.of((k - 1) / k, k).createSampler(source);
      }
    };
  }

  /** A log-normal distribution of mean 1. */
  private static LogNormalDistribution logNormal(double variation) {
    double variance = Math.log(1 + variation * variation);
    return LogNormalDistribution.of(-variance / 2, Math.sqrt(variance));
  }
}
