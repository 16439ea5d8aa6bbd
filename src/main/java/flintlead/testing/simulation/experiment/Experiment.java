package flintlead.testing.simulation.experiment;

import flintlead.testing.scenario.Scenario;
import flintlead.testing.simulation.Simulation;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs arms, that is scenarios to be compared, each with the same seeds, on all cores; each run has
 * a thread of its own.
 */
public final class Experiment {

  /**
   * The outcome of one arm.
   *
   * @param outcomes a value per seed, by the name of the metric
   * @param problems the problems of its runs, with their seeds
   * @param cpuSeconds of all its runs
   */
  public record Arm(
      String name, Map<String, double[]> outcomes, List<String> problems, double cpuSeconds) {}

  private record TimedRun(Simulation.Run run, double cpuSeconds) {}

  private static final double NANOS_PER_SECOND = 1e9;

  private final long firstSeed;
  private final int seeds;
  private final int threads;

  /**
   * An experiment.
   *
   * @param seeds how many, from the first on
   * @param threads that run scenarios at a time
   */
  public Experiment(long firstSeed, int seeds, int threads) {
    this.firstSeed = firstSeed;
    this.seeds = seeds;
    this.threads = threads;
  }

  /**
   * Runs all arms. Blocks.
   *
   * @param arms scenarios by name
   * @throws IOException when a scenario can't be run at all
   */
  public List<Arm> run(Map<String, Scenario> arms) throws IOException, InterruptedException {
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    try {
      Map<String, List<Future<TimedRun>>> running = new LinkedHashMap<>();
      arms.keySet().forEach(name -> running.put(name, new ArrayList<>()));
      // Seed by seed, so that what the machine does meanwhile affects all arms alike.
      for (int i = 0; i < seeds; i++) {
        long seed = firstSeed + i;
        arms.forEach(
            (name, scenario) -> running.get(name).add(pool.submit(() -> runTimed(scenario, seed))));
      }
      List<Arm> done = new ArrayList<>();
      for (Map.Entry<String, List<Future<TimedRun>>> each : running.entrySet()) {
        done.add(collect(each.getKey(), each.getValue()));
      }
      return done;
    } finally {
      pool.shutdownNow();
    }
  }

  private static TimedRun runTimed(Scenario scenario, long seed) throws IOException {
    ThreadMXBean threadTimes = ManagementFactory.getThreadMXBean();
    long begin = threadTimes.getCurrentThreadCpuTime();
    Simulation.Run run = Simulation.run(scenario, seed);
    return new TimedRun(run, (threadTimes.getCurrentThreadCpuTime() - begin) / NANOS_PER_SECOND);
  }

  private Arm collect(String name, List<Future<TimedRun>> runs)
      throws IOException, InterruptedException {
    Map<String, double[]> outcomes = new LinkedHashMap<>();
    List<String> wrong = new ArrayList<>();
    double cpuSeconds = 0;
    for (int i = 0; i < runs.size(); i++) {
      TimedRun timed = await(runs.get(i));
      Simulation.Run run = timed.run;
      String seed = "seed " + (firstSeed + i) + ": ";
      cpuSeconds += timed.cpuSeconds;
      if (run.result() == null) {
        throw new IOException(name + ", " + seed + run.failure());
      }
      if (run.problem() != null) {
        wrong.add(seed + run.problem());
      }
      int index = i;
      RunMetrics.of(run)
          .forEach(
              (metric, value) ->
                  outcomes.computeIfAbsent(metric, any -> new double[runs.size()])[index] = value);
    }
    return new Arm(name, outcomes, wrong, cpuSeconds);
  }

  private static TimedRun await(Future<TimedRun> run) throws IOException, InterruptedException {
    try {
      return run.get();
    } catch (ExecutionException e) {
      if (e.getCause() instanceof IOException io) {
        throw io;
      }
      throw e.getCause() instanceof UncheckedIOException io
          ? io.getCause()
          : new IOException(e.getCause());
    }
  }

  /** Compares the second arm with the first, metric by metric. */
  public static Map<String, PairedComparison> compare(Arm first, Arm second) {
    Map<String, PairedComparison> comparisons = new LinkedHashMap<>();
    first
        .outcomes()
        .forEach(
            (metric, values) ->
                comparisons.put(
                    metric, PairedComparison.of(values, second.outcomes().get(metric), 1)));
    return comparisons;
  }
}
