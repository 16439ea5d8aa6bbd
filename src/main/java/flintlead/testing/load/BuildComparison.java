package flintlead.testing.load;

import flintlead.testing.arrivals.ArrivalConfig;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Compares two builds of the program: each as a process of its own, before the same hosts, loaded
 * by turns (first, second, second, first, …), so that what the machine does meanwhile affects both
 * alike. Ratios are by rounds.
 *
 * @param first jar of the first build, beside its lib folder
 * @param second jar of the second
 * @param size of a payload, in bytes
 * @param seconds that each turn takes
 * @param perSecond invocations per second
 * @param traffic when they arrive
 */
public record BuildComparison(
    Path first,
    Path second,
    int hosts,
    int connections,
    int size,
    int functions,
    int seconds,
    double perSecond,
    ArrivalConfig traffic,
    int rounds) {

  private static final String TRIGGER_TYPE = "check";
  private static final Span CLIENT_TIMEOUT = Span.ofMillis(3_000);
  private static final Span START_TIMEOUT = Span.ofMillis(20_000);
  private static final long START_POLL_NANOS = 20_000_000L;
  private static final long STOP_TIMEOUT_SECONDS = 10;
  private static final double[] PERCENTILES = {50, 99, 99.9};

  /**
   * Measures and prints the results. Blocks.
   *
   * @return whether everything sent was answered by both
   */
  public boolean run(PrintStream print) throws IOException {
    List<Process> processes = new ArrayList<>();
    try (LoadEnvironment environment = new LoadEnvironment("flintlead-builds")) {
      try {
        String hostList = startHosts(environment);
        LoadGenerator[] loaders = new LoadGenerator[2];
        for (int i = 0; i < loaders.length; i++) {
          loaders[i] = startBuild(environment, i, hostList, processes);
        }
        return measure(loaders, print);
      } finally {
        stop(processes);
      }
    }
  }

  // ---- processes ----

  /** Returns the hosts as lines of a configuration file. */
  private String startHosts(LoadEnvironment environment) throws IOException {
    NettyEventLoop hostLoop = environment.startLoop("hosts");
    StringBuilder list = new StringBuilder();
    for (int i = 0; i < hosts; i++) {
      String name = "w-" + i;
      new EchoHost(name, hostLoop, Span.ZERO).listen(environment.socket(name));
      list.append("  - {name: ")
          .append(name)
          .append(", address: \"")
          .append(environment.socket(name))
          .append("\"}\n");
    }
    return list.toString();
  }

  /** Starts a build's gateway and warms it up. */
  private LoadGenerator startBuild(
      LoadEnvironment environment, int index, String hostList, List<Process> processes)
      throws IOException {
    Path jar = index == 0 ? first : second;
    Address.Unix front = environment.socket("front-" + index);
    Process process = start(jar, environment.file("gateway-" + index + ".yaml"), front, hostList);
    processes.add(process);
    awaitStart(front, process, jar);
    LoadGenerator loader =
        new LoadGenerator(
            environment.startLoop("clients-" + index),
            List.of(front),
            connections,
            size,
            functions,
            TRIGGER_TYPE,
            CLIENT_TIMEOUT,
            1);
    loader.runOpenLoop(perSecond, turnDuration());
    return loader;
  }

  private static Process start(Path jar, Path configuration, Address.Unix front, String hostList)
      throws IOException {
    if (!Files.isRegularFile(jar)) {
      throw new IOException(jar + ": no such build; give the jar beside its lib folder");
    }
    Files.writeString(
        configuration,
        "listen: [\""
            + front
            + "\"]\n"
            + "gateway: {name: gw, index: 0, of: 1}\n"
            + "triggerTypes:\n"
            + "  - {name: check, latencyObjective: 750ms, clientTimeout: 3s, billedValue: 3,"
            + " effect: idempotent, lanes: 1000, memoryMb: 1}\n"
            + "hosts:\n"
            + hostList);
    String java =
        System.getProperty("java.home") + File.separator + "bin" + File.separator + "java";
    return new ProcessBuilder(java, "-jar", jar.toString(), "serve", "-c", configuration.toString())
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start();
  }

  private static void awaitStart(Address.Unix front, Process process, Path jar) throws IOException {
    long end = System.nanoTime() + START_TIMEOUT.micros() * 1000;
    while (!Files.exists(front.path())) {
      if (!process.isAlive() || System.nanoTime() > end) {
        throw new IOException(jar + " did not start a gateway; try it by hand with serve");
      }
      LockSupport.parkNanos(START_POLL_NANOS);
    }
  }

  private static void stop(List<Process> processes) {
    processes.forEach(Process::destroy);
    for (Process process : processes) {
      try {
        process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  // ---- measurement ----

  private Span turnDuration() {
    return Span.ofMillis(seconds * 1000.0);
  }

  private boolean measure(LoadGenerator[] loaders, PrintStream print) throws IOException {
    double[][] ratios = new double[PERCENTILES.length][rounds];
    long other = 0;
    for (int round = 0; round < rounds; round++) {
      LoadGenerator.Measurement[] measured = new LoadGenerator.Measurement[2];
      for (int turn = 0; turn < 2; turn++) {
        int build = (round + turn) % 2;
        measured[build] =
            loaders[build].runOpenLoop(traffic.start(perSecond, new Random(round)), turnDuration());
        other += measured[build].other();
      }
      for (int i = 0; i < PERCENTILES.length; i++) {
        long firstMicros = measured[0].micros().getValueAtPercentile(PERCENTILES[i]);
        long secondMicros = measured[1].micros().getValueAtPercentile(PERCENTILES[i]);
        ratios[i][round] = (double) secondMicros / Math.max(1, firstMicros);
      }
      print.printf(
          "round %d: first %d succeeded, p50 %d us, p99 %d us; second %d, %d us, %d us%n",
          round + 1,
          measured[0].succeeded(),
          measured[0].micros().getValueAtPercentile(50),
          measured[0].micros().getValueAtPercentile(99),
          measured[1].succeeded(),
          measured[1].micros().getValueAtPercentile(50),
          measured[1].micros().getValueAtPercentile(99));
    }
    printRatios(ratios, print);
    return other == 0;
  }

  private void printRatios(double[][] ratios, PrintStream print) {
    for (int i = 0; i < PERCENTILES.length; i++) {
      double[] sorted = ratios[i].clone();
      Arrays.sort(sorted);
      print.printf(
          "p%s second over first: median ratio %.3f, from %.3f to %.3f over %d rounds%n",
          PERCENTILES[i], sorted[sorted.length / 2], sorted[0], sorted[sorted.length - 1], rounds);
    }
  }
}
