package flintlead.cli;

import flintlead.configuration.yaml.YamlException;
import flintlead.configuration.yaml.YamlSection;
import flintlead.testing.scenario.EventRecorder;
import flintlead.testing.scenario.Scenario;
import flintlead.testing.simulation.FaultSearch;
import flintlead.testing.simulation.Simulation;
import flintlead.testing.simulation.experiment.Experiment;
import flintlead.testing.simulation.experiment.Factor;
import flintlead.testing.simulation.report.ArrowWriter;
import flintlead.testing.simulation.report.HtmlReport;
import flintlead.time.Span;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Days in virtual time. */
@Command(
    name = "lab",
    mixinStandardHelpOptions = true,
    description = "Days in virtual time: the same every time.",
    subcommands = {
      LabCommand.Replay.class,
      LabCommand.Search.class,
      LabCommand.Compare.class,
      LabCommand.Sweep.class
    })
final class LabCommand implements Callable<Integer> {

  private static final int CHRONICLE_MOST = 5_000_000;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return Commands.USAGE;
  }

  /** Plays a day's file. */
  @Command(
      name = "replay",
      mixinStandardHelpOptions = true,
      description = "Plays a day's file in virtual time; exit 3" + " where something went wrong.")
  static final class Replay implements Callable<Integer> {

    @Parameters(index = "0", description = "A day's file, or the name of a day.")
    private String file;

    @Option(names = "--seed", description = "Of everything left to chance.", defaultValue = "1")
    private long seed;

    @Option(names = "--json", description = "Print the result as JSON.")
    private boolean json;

    @Option(names = "--report", description = "Write a page with plots there, as day.html.")
    private Path page;

    @Option(
        names = "--records",
        description = "Write all invocations there, as day.arrow (Arrow IPC file).")
    private Path records;

    @Override
    public Integer call() throws IOException, YamlException {
      Scenario plan = DayCommand.plan(file);
      long begun = System.nanoTime();
      EventRecorder chronicle =
          page == null && records == null ? null : new EventRecorder(CHRONICLE_MOST);
      Simulation.Run run = Simulation.run(plan, seed, chronicle);
      double took = (System.nanoTime() - begun) / 1e9;
      if (run.result() != null) {
        DayCommand.print(run.result(), json);
      }
      System.err.printf(
          "%d events, sum %08x, %.1f s for %.1f s (%.1f times as fast)%n",
          run.events(),
          run.eventSum(),
          took,
          plan.duration().micros() / 1e6,
          plan.duration().micros() / 1e6 / took);
      if (run.problem() != null) {
        System.err.println("wrong: " + run.problem());
      }
      if (page != null && run.result() != null) {
        new HtmlReport().writeRun(page, plan, seed, run, chronicle);
      }
      if (records != null) {
        ArrowWriter.write(records, chronicle);
      }
      return run.problem() == null ? 0 : Commands.RULE_BROKE;
    }
  }

  /** Looks for days that go wrong. */
  @Command(
      name = "search",
      mixinStandardHelpOptions = true,
      description =
          "Plays days with troubles by chance on all cores until one goes wrong, cuts that down and"
              + " writes it to a file; exit 3 where one was found.")
  static final class Search implements Callable<Integer> {

    @Parameters(
        index = "0",
        arity = "0..1",
        description = "The day whose size and terms are taken.",
        defaultValue = "small")
    private String file;

    @Option(names = "--seed", description = "The first seed.", defaultValue = "1")
    private long seed;

    @Option(names = "--time", description = "How long to search.", defaultValue = "60s")
    private String time;

    @Option(
        names = "--out",
        description = "Where a day that is found is written.",
        defaultValue = "found.yaml")
    private Path out;

    @Override
    public Integer call() throws IOException, YamlException, InterruptedException {
      Span most = YamlSection.span(time);
      if (most == null) {
        System.err.println("--time " + time + ": write a number with its unit, as 60s or 5m");
        return Commands.USAGE;
      }
      FaultSearch.SearchResult search =
          new FaultSearch(DayCommand.plan(file))
              .search(seed, Integer.MAX_VALUE, most, Runtime.getRuntime().availableProcessors());
      System.out.printf("%d days, %d events%n", search.scenarios(), search.events());
      if (search.failure() == null) {
        System.out.println("nothing went wrong");
        return 0;
      }
      Files.writeString(out, FaultSearch.toYaml(search.failure()));
      System.out.println(
          "wrong with seed " + search.failure().seed() + ": " + search.failure().problem());
      System.out.println("bin/flintlead lab replay " + out + " --seed " + search.failure().seed());
      return Commands.RULE_BROKE;
    }
  }

  /** Which days an experiment plays, and where it tells of them. */
  static final class Days {
    @Option(names = "--seeds", defaultValue = "20", description = "How many days each.")
    private int seeds;

    @Option(names = "--seed", defaultValue = "1", description = "The first seed.")
    private long seed;

    @Option(names = "--report", description = "Write a page with plots there.")
    private Path page;
  }

  /** Plays arms and tells of them. */
  private static int experiment(String title, Map<String, Scenario> arms, Days days)
      throws IOException, InterruptedException {
    if (days.seeds < 2) {
      System.err.println("--seeds " + days.seeds + ": at least 2 days are needed for an interval");
      return Commands.USAGE;
    }
    List<Experiment.Arm> done =
        new Experiment(days.seed, days.seeds, Runtime.getRuntime().availableProcessors()).run(arms);
    Experiment.Arm first = done.get(0);
    boolean wrong = false;
    for (Experiment.Arm arm : done) {
      if (arm != first) {
        System.out.printf(
            "%s against %s, %d days, simulated%n%-14s %10s %10s %11s  %-22s %-22s %5s %5s%n",
            arm.name(),
            first.name(),
            days.seeds,
            "outcome",
            "first",
            "second",
            "difference",
            "95% (t)",
            "95% (bootstrap)",
            "above",
            "below");
        Experiment.compare(first, arm)
            .forEach(
                (name, paired) ->
                    System.out.printf(
                        Locale.ROOT,
                        "%-14s %10.4f %10.4f %+11.4f%s %-22s %-22s %5d %5d%n",
                        name,
                        paired.first(),
                        paired.second(),
                        paired.difference(),
                        paired.isSignificant() ? "*" : " ",
                        String.format(Locale.ROOT, "%+.4f to %+.4f", paired.low(), paired.high()),
                        String.format(
                            Locale.ROOT,
                            "%+.4f to %+.4f",
                            paired.bootstrapLow(),
                            paired.bootstrapHigh()),
                        paired.above(),
                        paired.below()));
      }
      for (String each : arm.problems()) {
        System.out.println("wrong in " + arm.name() + ", " + each);
        wrong = true;
      }
      System.err.printf("%s: %.1f s of CPU%n", arm.name(), arm.cpuSeconds());
    }
    if (days.page != null) {
      new HtmlReport().writeExperiment(days.page, title, done, days.seeds);
    }
    return wrong ? Commands.RULE_BROKE : 0;
  }

  /** Two plans on the same seeds. */
  @Command(
      name = "compare",
      mixinStandardHelpOptions = true,
      description =
          "Plays two days' files with the same seeds and tells the differences with intervals; exit"
              + " 3 where a rule broke on one of the days.")
  static final class Compare implements Callable<Integer> {

    @Parameters(index = "0", description = "The first day's file, or the name of a day.")
    private String first;

    @Parameters(index = "1", description = "The second.")
    private String second;

    @CommandLine.Mixin private Days days;

    @Override
    public Integer call() throws IOException, YamlException, InterruptedException {
      Map<String, Scenario> arms = new LinkedHashMap<>();
      arms.put(first, DayCommand.plan(first));
      arms.put(second.equals(first) ? second + " again" : second, DayCommand.plan(second));
      return experiment(first + " and " + second, arms, days);
    }
  }

  /** One plan, one factor. */
  @Command(
      name = "sweep",
      mixinStandardHelpOptions = true,
      description =
          "Plays a day's file with a factor at several values, on the same seeds, each against the"
              + " first; exit 3 where a rule broke on one of the days.")
  static final class Sweep implements Callable<Integer> {

    @Parameters(index = "0", description = "A day's file, or the name of a day.")
    private String file;

    @Parameters(
        index = "1",
        description = "hosts=8,16,32, gateways=1,16,300, load=0.5,1,1.5 or policy=control,random.")
    private String factor;

    @CommandLine.Mixin private Days days;

    @Override
    public Integer call() throws IOException, YamlException, InterruptedException {
      Map<String, Scenario> arms;
      try {
        arms = Factor.parse(factor).arms(DayCommand.plan(file));
      } catch (IllegalArgumentException e) {
        System.err.println(e.getMessage());
        return Commands.USAGE;
      }
      return experiment(file + ", " + factor, arms, days);
    }
  }
}
