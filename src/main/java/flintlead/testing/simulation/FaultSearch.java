package flintlead.testing.simulation;

import flintlead.testing.scenario.Fault;
import flintlead.testing.scenario.Scenario;
import flintlead.time.Span;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;

/**
 * Searches for a scenario in which something goes wrong: random fault schedules, in each of which
 * only some kinds of fault are enabled (swarm testing; Groce et al., 2012), on all cores. What is
 * found is reduced to the faults that it needs.
 */
public final class FaultSearch {

  /**
   * A run in which something went wrong.
   *
   * @param scenario reduced as far as possible
   * @param problem the problem
   */
  public record FoundFailure(Scenario scenario, long seed, String problem) {}

  /**
   * The outcome of a search.
   *
   * @param scenarios scenarios run
   * @param events run in all of them
   * @param failure null for none
   */
  public record SearchResult(int scenarios, long events, FoundFailure failure) {}

  private static final int MAX_FAULTS = 8;

  /** One kind of fault in so many is enabled. */
  private static final int ENABLED_KINDS = 3;

  private static final int MAX_REDUCTIONS = 200;
  private static final long SHUTDOWN_MARGIN_MICROS = 60_000_000;

  private final Scenario base;
  private final BiFunction<Scenario, Long, Simulation.Run> runner;

  /**
   * A search by simulation.
   *
   * @param base the scenario whose size, configuration and registry all runs have
   */
  public FaultSearch(Scenario base) {
    this(base, FaultSearch::simulate);
  }

  FaultSearch(Scenario base, BiFunction<Scenario, Long, Simulation.Run> runner) {
    this.base = base;
    this.runner = runner;
  }

  private static Simulation.Run simulate(Scenario scenario, long seed) {
    try {
      return Simulation.run(scenario, seed);
    } catch (IOException e) {
      return new Simulation.Run(null, 0, 0, e.toString());
    }
  }

  // ---- search ----

  /**
   * Searches until the time is up, the number of scenarios is reached, or something is found.
   * Blocks.
   *
   * @param firstSeed of the first scenario; the next has the next seed
   * @param days the most scenarios that are run
   */
  public SearchResult search(long firstSeed, int days, Span time, int threads)
      throws InterruptedException {
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    AtomicInteger next = new AtomicInteger();
    AtomicInteger runs = new AtomicInteger();
    AtomicLong events = new AtomicLong();
    AtomicReference<FoundFailure> found = new AtomicReference<>();
    long end = System.nanoTime() + time.micros() * 1000;
    Runnable worker =
        () -> {
          for (int n = next.getAndIncrement();
              n < days && found.get() == null && System.nanoTime() < end;
              n = next.getAndIncrement()) {
            long seed = firstSeed + n;
            Scenario scenario = draw(seed);
            Simulation.Run run = runner.apply(scenario, seed);
            runs.incrementAndGet();
            events.addAndGet(run.events());
            if (run.problem() != null) {
              found.compareAndSet(null, new FoundFailure(scenario, seed, run.problem()));
            }
          }
        };
    for (int i = 0; i < threads; i++) {
      pool.execute(worker);
    }
    pool.shutdown();
    pool.awaitTermination(time.micros() * 2 + SHUTDOWN_MARGIN_MICROS, TimeUnit.MICROSECONDS);
    FoundFailure first = found.get();
    return new SearchResult(runs.get(), events.get(), first == null ? null : reduce(first));
  }

  /**
   * Draws a fault schedule: first which kinds are enabled, then when, whom and how severely they
   * hit.
   */
  Scenario draw(long seed) {
    Random random = new Random(seed);
    List<Fault.Kind> enabled = new ArrayList<>();
    for (Fault.Kind kind : Fault.Kind.values()) {
      if (random.nextInt(ENABLED_KINDS) == 0
          && (!kind.needsRegistry() || base.registry() != null)) {
        enabled.add(kind);
      }
    }
    List<Fault> faults = new ArrayList<>();
    int count = enabled.isEmpty() ? 0 : 1 + random.nextInt(MAX_FAULTS);
    for (int i = 0; i < count; i++) {
      faults.add(drawFault(enabled.get(random.nextInt(enabled.size())), random));
    }
    return base.withFaults(faults);
  }

  private Fault drawFault(Fault.Kind kind, Random random) {
    double size =
        switch (kind) {
          case BURST -> 1 + 2 * random.nextDouble();
          case AGEING -> 2 + 15 * random.nextDouble();
          case STORE_SLOW -> 1 + 4 * random.nextDouble();
          case NET_SLOW -> 1 + 100 * random.nextDouble();
          case NET_LOSS -> 0.3 * random.nextDouble();
          default -> random.nextDouble();
        };
    Span at = base.duration().times(0.9 * random.nextDouble());
    Span lasts = base.duration().times(0.05 + 0.3 * random.nextDouble());
    double part = 0.05 + 0.6 * random.nextDouble();
    return new Fault(kind, at, lasts, part, size, Span.ofMillis(50 + random.nextInt(800)));
  }

  // ---- reduction ----

  /** Removes faults, then halves what is left, as long as something still goes wrong. */
  private FoundFailure reduce(FoundFailure first) {
    FoundFailure smallest = first;
    int runs = 0;
    boolean smaller = true;
    while (smaller && runs < MAX_REDUCTIONS) {
      smaller = false;
      List<Fault> faults = smallest.scenario.faults();
      for (int i = 0; i < faults.size() && runs < MAX_REDUCTIONS && !smaller; i++) {
        List<Fault> fewer = new ArrayList<>(faults);
        fewer.remove(i);
        FoundFailure found = runAgain(smallest, fewer);
        runs++;
        if (found != null) {
          smallest = found;
          smaller = true;
        }
      }
    }
    for (int i = 0; i < smallest.scenario.faults().size() && runs < MAX_REDUCTIONS; i++) {
      List<Fault> shorter = new ArrayList<>(smallest.scenario.faults());
      shorter.set(i, halved(shorter.get(i)));
      FoundFailure found = runAgain(smallest, shorter);
      runs++;
      smallest = found == null ? smallest : found;
    }
    return smallest;
  }

  private static Fault halved(Fault fault) {
    return new Fault(
        fault.kind(),
        fault.startsAt(),
        fault.duration().times(0.5),
        fault.fraction(),
        fault.severity(),
        fault.episodeDuration());
  }

  private FoundFailure runAgain(FoundFailure before, List<Fault> faults) {
    Scenario scenario = before.scenario.withFaults(faults);
    String wrong = runner.apply(scenario, before.seed).problem();
    return wrong == null ? null : new FoundFailure(scenario, before.seed, wrong);
  }

  // ---- output ----

  /** The scenario as a file that can be run again. */
  public static String toYaml(FoundFailure found) {
    Scenario scenario = found.scenario;
    StringBuilder text =
        new StringBuilder("# seed ")
            .append(found.seed)
            .append(": ")
            .append(found.problem)
            .append('\n')
            .append("name: found-")
            .append(found.seed)
            .append('\n')
            .append(scenario.fileHeader());
    if (!scenario.faults().isEmpty()) {
      text.append("troubles:\n");
      scenario.faults().forEach(fault -> text.append(line(fault)));
    }
    return text.toString();
  }

  private static String line(Fault fault) {
    return String.format(
        Locale.ROOT,
        "  - {kind: %s, at: %dus, for: %dus, part: %s, size: %s, length: %dus}%n",
        fault.kind().name().toLowerCase(Locale.ROOT).replace('_', '-'),
        fault.startsAt().micros(),
        fault.duration().micros(),
        fault.fraction(),
        fault.severity(),
        fault.episodeDuration().micros());
  }
}
