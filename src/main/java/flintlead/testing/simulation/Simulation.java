package flintlead.testing.simulation;

import flintlead.testing.scenario.EventRecorder;
import flintlead.testing.scenario.Scenario;
import flintlead.testing.scenario.ScenarioResult;
import flintlead.testing.scenario.ScenarioRunner;
import flintlead.testing.simulation.policy.BaselinePolicies;
import java.io.IOException;
import java.util.List;

/** Runs scenarios in virtual time, on the calling thread. */
public final class Simulation {

  /** Gateway counters that are zero at the end of a run where nothing was lost. */
  private static final List<String> LEFTOVERS =
      List.of(
          "open at the end",
          "flights at the end",
          "kept back by the ledger",
          "invariants violated",
          "in the intake at the end",
          "in pools at the end",
          "pools of older layouts");

  /**
   * The outcome of a run.
   *
   * @param result null where an exception was thrown
   * @param events how many were run
   * @param eventSum checksum over all events: equal for equal scenario, seed and program
   * @param failure the exception that was thrown, as text; null for none
   */
  public record Run(ScenarioResult result, long events, long eventSum, String failure) {

    /**
     * The first problem of the run: an exception, a broken rule, an invocation or attempt left
     * over; null for none.
     */
    public String problem() {
      if (failure != null) {
        return failure;
      }
      if (!result.breaches().isEmpty()) {
        return result.breaches().get(0).toString();
      }
      for (String counter : LEFTOVERS) {
        long count = result.gateways().getOrDefault(counter, 0L);
        if (count > 0) {
          return count + " " + counter;
        }
      }
      return null;
    }
  }

  private Simulation() {}

  /** Runs a scenario on the network that it describes. */
  public static Run run(Scenario scenario, long seed) throws IOException {
    return run(scenario, seed, null);
  }

  /**
   * Runs a scenario on the network that it describes.
   *
   * @param recorder of invocations and host states; null for none
   */
  public static Run run(Scenario scenario, long seed, EventRecorder recorder) throws IOException {
    VirtualEnvironment environment = new VirtualEnvironment(scenario.network(), seed);
    ScenarioRunner day = new ScenarioRunner(scenario, seed, environment);
    if (!scenario.policy().equals(Scenario.BUILT_IN_POLICY)) {
      day.useSchedulingPolicy(BaselinePolicies.of(scenario.policy(), day.hostObserver()));
    }
    if (recorder != null) {
      day.recordTo(recorder);
    }
    try {
      ScenarioResult result = day.run();
      return new Run(result, environment.eventCount(), environment.eventSum(), null);
    } catch (RuntimeException e) {
      String place = e.getStackTrace().length > 0 ? e.getStackTrace()[0].toString() : "?";
      return new Run(null, environment.eventCount(), environment.eventSum(), e + " at " + place);
    }
  }
}
