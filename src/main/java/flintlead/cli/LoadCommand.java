package flintlead.cli;

import flintlead.testing.arrivals.ArrivalConfig;
import flintlead.testing.load.BuildComparison;
import flintlead.testing.load.LoadRun;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** How much goes through, and at what cost in time. */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description =
        "Measures a gateway beside the bare hosts, in one run: the most that goes through, then"
            + " times at half of the gateway's most.")
final class LoadCommand implements Callable<Integer> {

  private static final double BUILDS_RATE = 5_000;

  @Option(names = "--hosts", defaultValue = "16", description = "Hosts that answer at once.")
  private int hosts;

  @Option(names = "--connections", defaultValue = "8", description = "Client connections.")
  private int connections;

  @Option(
      names = "--out",
      defaultValue = "256",
      description = "Invocations out at a time when the most is sought.")
  private int out;

  @Option(names = "--size", defaultValue = "1024", description = "Bytes of a payload.")
  private int size;

  @Option(names = "--functions", defaultValue = "50", description = "Functions invoked.")
  private int functions;

  @Option(names = "--seconds", defaultValue = "5", description = "Length of each part.")
  private int seconds;

  @Option(
      names = "--rate",
      defaultValue = "0",
      description = "Invocations a second; 0 for half of the most.")
  private double rate;

  @Option(
      names = "--out-at-once",
      defaultValue = "0",
      description = "Also: so many invocations in flight at hosts that answer after a second.")
  private int atOnce;

  @Option(
      names = "--process",
      defaultValue = "poisson",
      description = "poisson, bursts, diurnal or trace, for the open loop.")
  private ArrivalConfig.Process process;

  @Option(
      names = "--trace",
      description = "A file of arrivals: milliseconds[,function[,work]] a line.")
  private Path trace;

  @Option(
      names = "--by-second",
      description = "Write counts and percentiles of each second there, as CSV.")
  private Path bySecond;

  @Option(
      names = "--builds",
      arity = "2",
      description = "Compare two builds instead: their jars, each beside its lib folder.")
  private List<Path> builds;

  @Option(names = "--rounds", defaultValue = "5", description = "Rounds of a comparison of builds.")
  private int rounds;

  @Override
  public Integer call() throws Exception {
    if (process == ArrivalConfig.Process.TRACE && trace == null) {
      System.err.println("--process trace needs --trace FILE");
      return Commands.USAGE;
    }
    ArrivalConfig traffic =
        new ArrivalConfig(
            trace != null ? ArrivalConfig.Process.TRACE : process,
            ArrivalConfig.DEFAULT.factor(),
            ArrivalConfig.DEFAULT.calm(),
            ArrivalConfig.DEFAULT.burst(),
            ArrivalConfig.DEFAULT.amplitude(),
            trace);
    boolean whole =
        builds != null
            ? new BuildComparison(
                    builds.get(0),
                    builds.get(1),
                    hosts,
                    connections,
                    size,
                    functions,
                    seconds,
                    rate > 0 ? rate : BUILDS_RATE,
                    traffic,
                    rounds)
                .run(System.out)
            : new LoadRun(
                    hosts,
                    connections,
                    out,
                    size,
                    functions,
                    seconds,
                    rate,
                    atOnce,
                    traffic,
                    bySecond)
                .run(System.out);
    return whole ? 0 : Commands.FAILED;
  }
}
