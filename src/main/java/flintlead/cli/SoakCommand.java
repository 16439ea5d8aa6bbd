package flintlead.cli;

import flintlead.testing.soak.Breach;
import flintlead.testing.soak.SoakPlan;
import flintlead.testing.soak.SoakRun;
import flintlead.testing.soak.SyscallFaults;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Random faults on real gateway processes, a seed at a time. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description =
        "Plays random faults that overlap on real gateway processes, and judges by what clients and"
            + " hosts saw. Exit code 3 where an invariant did not hold.")
final class SoakCommand implements Callable<Integer> {

  private static final int MAX_BREACHES_PRINTED = 12;

  @Option(names = "--seeds", defaultValue = "1-3", description = "One seed, or the first and last.")
  private String seeds;

  @Option(
      names = "--gateways",
      defaultValue = "10-14",
      description = "Gateways, at least and most.")
  private String gateways;

  @Option(names = "--time", defaultValue = "12s", description = "Length of the traffic, as 20s.")
  private String time;

  @Option(names = "--only", description = "Play this seed alone, and print its schedule.")
  private Long only;

  @Option(names = "--shrink", description = "Drop faults from --only while a break remains.")
  private boolean shrink;

  @Option(names = "--log", description = "Print the gateways' log lines that have this text.")
  private String log;

  @Option(names = "--no-syscall-faults", description = "Without the system-call shim.")
  private boolean noSyscallFaults;

  private Path root;
  private SyscallFaults syscallFaults;

  @Override
  public Integer call() throws Exception {
    root = Path.of("").toAbsolutePath();
    if (!Files.exists(root.resolve("target/flintlead.jar"))) {
      System.err.println("target/flintlead.jar is not there: run in the project's folder, built");
      return Commands.USAGE;
    }
    syscallFaults = noSyscallFaults ? null : SyscallFaults.compile(root);
    long[] range = only == null ? range(seeds) : new long[] {only, only};
    int broken = 0;
    for (long seed = range[0]; seed <= range[1]; seed++) {
      SoakPlan plan = draw(seed);
      if (only != null) {
        System.out.print(plan.describe());
      }
      SoakRun.Result result = play(plan);
      broken += result.breaches().isEmpty() ? 0 : 1;
      if (shrink && !result.breaches().isEmpty()) {
        System.out.print(shrink(plan).describe());
      }
    }
    System.out.println(
        (range[1] - range[0] + 1) + " seeds played, an invariant broken on " + broken);
    return broken == 0 ? 0 : Commands.RULE_BROKE;
  }

  private static long[] range(String text) {
    String[] ends = text.split("-");
    long first = Long.parseLong(ends[0]);
    return new long[] {first, ends.length > 1 ? Long.parseLong(ends[1]) : first};
  }

  private SoakPlan draw(long seed) {
    long[] many = range(gateways);
    int millis = (int) (Double.parseDouble(time.replace("s", "")) * 1_000);
    return SoakPlan.draw(seed, (int) many[0], (int) many[1], millis);
  }

  private SoakRun.Result play(SoakPlan plan) throws IOException, InterruptedException {
    SoakRun run =
        new SoakRun(
            plan,
            root,
            syscallFaults == null
                ? java.util.Map.of()
                : syscallFaults.environment(plan.syscallFaultEvery()));
    SoakRun.Result result = run.play();
    System.out.println(result.summary());
    result.breaches().stream()
        .limit(MAX_BREACHES_PRINTED)
        .forEach(breach -> System.out.println("  " + breach));
    if (log != null) {
      run.logLines(log).forEach(line -> System.out.println("  " + line));
    }
    return result;
  }

  /** Halves, then single faults, are left out as long as an invariant is broken without them. */
  private SoakPlan shrink(SoakPlan broken) throws IOException, InterruptedException {
    SoakPlan smallest = broken;
    for (int size = broken.faults().size() / 2; size >= 1; size /= 2) {
      for (int from = 0; from < smallest.faults().size(); from += size) {
        List<flintlead.testing.soak.PlannedFault> some = new ArrayList<>(smallest.faults());
        some.subList(from, Math.min(from + size, some.size())).clear();
        SoakPlan smaller = smallest.withFaults(some);
        List<Breach> breaches = play(smaller).breaches();
        if (!breaches.isEmpty()) {
          smallest = smaller;
          from -= size;
        }
      }
    }
    return smallest;
  }
}
