package flintlead.testing.simulation.experiment;

import flintlead.testing.scenario.ScenarioResult;
import flintlead.testing.simulation.Simulation;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** The metrics of a run that experiments compare, by name, in one order. */
final class RunMetrics {

  private RunMetrics() {}

  /**
   * Shares are of the invocations after the warm-up; what is per invocation is over the whole run.
   */
  static Map<String, Double> of(Simulation.Run run) {
    ScenarioResult result = run.result();
    Map<String, Double> metrics = new LinkedHashMap<>();
    if (result == null) {
      return metrics;
    }
    Collection<ScenarioResult.TypeResult> types = result.types().values();
    double asked = Math.max(1, sum(types, type -> type.asked));
    metrics.put("value", result.service());
    metrics.put("late", sum(types, type -> type.late) / asked);
    metrics.put("throttled", sum(types, type -> type.throttled) / asked);
    metrics.put("errored", sum(types, type -> type.errored) / asked);
    metrics.put("lost", sum(types, type -> type.lost) / asked);
    metrics.put("p50 ms", sum(types, type -> type.p50Ms * type.asked) / asked);
    metrics.put("p99 ms", sum(types, type -> type.p99Ms * type.asked) / asked);
    double invocations = Math.max(1, result.invocations());
    metrics.put("dispatches", result.dispatches() / invocations);
    metrics.put("loads", result.loads() / invocations);
    metrics.put("fetches", result.fetches() / invocations);
    metrics.put("work wasted", result.wasted());
    metrics.put("rules broken", (double) result.breaches().size());
    return metrics;
  }

  private static double sum(
      Collection<ScenarioResult.TypeResult> types,
      ToDoubleFunction<ScenarioResult.TypeResult> value) {
    return types.stream().mapToDouble(value).sum();
  }
}
