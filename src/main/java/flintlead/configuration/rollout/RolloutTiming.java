package flintlead.configuration.rollout;

import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * In which waves a change goes over the gateways, and what takes it back.
 *
 * @param waves shares of all gateways that have the change after each wave, rising to 1; the first
 *     wave is at least one gateway
 * @param settleTime time between the end of a wave and the next, in which changed gateways are
 *     compared with the others
 * @param pollInterval how often a gateway is asked for its status
 * @param unreachableTimeout how long a gateway may be unreachable before it counts as lost
 * @param maxUnreachableShare share of the gateways that may be lost before all go back
 * @param maxFailureIncrease by how much the failure rate of changed gateways may exceed that of the
 *     others, as a fraction
 * @param minInvocations invocations on either side before failure rates are compared
 * @param standardErrors standard errors by which the difference must exceed {@code worse}
 */
public record RolloutTiming(
    List<Double> waves,
    Span settleTime,
    Span pollInterval,
    Span unreachableTimeout,
    double maxUnreachableShare,
    double maxFailureIncrease,
    int minInvocations,
    double standardErrors) {

  /** What holds where the command line says nothing. */
  public static final RolloutTiming DEFAULTS =
      new RolloutTiming(
          List.of(0.0, 0.1, 0.5, 1.0),
          Span.ofMillis(5_000),
          Span.ofMillis(500),
          Span.ofMillis(20_000),
          0.1,
          0.02,
          200,
          3);

  /**
   * Checks the waves.
   *
   * @throws IllegalArgumentException when they do not rise to 1
   */
  public RolloutTiming {
    waves = List.copyOf(waves);
    for (int i = 0; i < waves.size(); i++) {
      if (waves.get(i) < 0 || waves.get(i) > 1 || i > 0 && waves.get(i) <= waves.get(i - 1)) {
        throw new IllegalArgumentException("waves " + waves + " must rise from 0 to 1");
      }
    }
    if (waves.isEmpty() || waves.get(waves.size() - 1) < 1) {
      throw new IllegalArgumentException("the last of the waves " + waves + " must be 1");
    }
  }

  /**
   * Returns how many of so many gateways have the change after each wave; each wave adds at least
   * one.
   */
  List<Integer> waveSizes(int gateways) {
    List<Integer> sizes = new ArrayList<>();
    int last = 0;
    for (double wave : waves) {
      int next =
          Math.min(gateways, Math.max(last == 0 ? 1 : last, (int) Math.round(wave * gateways)));
      if (next > last) {
        sizes.add(next);
        last = next;
      }
    }
    return sizes;
  }
}
