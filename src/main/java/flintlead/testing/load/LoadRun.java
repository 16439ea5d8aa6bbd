package flintlead.testing.load;

import flintlead.gateway.Flintlead;
import flintlead.gateway.GatewayConfig;
import flintlead.gateway.downstream.ClientFront;
import flintlead.gateway.downstream.FrontLimits;
import flintlead.gateway.upstream.HostSpec;
import flintlead.gateway.upstream.UpstreamLimits;
import flintlead.routing.admission.AdmissionController;
import flintlead.testing.arrivals.ArrivalConfig;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Measures what a gateway costs: bare hosts and the same hosts behind a gateway, by turns in one
 * process.
 *
 * @param hosts that answer at once
 * @param connections of the clients
 * @param concurrency invocations outstanding at a time when the throughput is measured
 * @param size of a payload, in bytes
 * @param functions that are invoked
 * @param seconds that each part takes
 * @param rate invocations per second of the open loop; 0 for half of the gateway's throughput
 * @param inFlightCheck invocations outstanding at hosts that answer after a second; 0 to leave that
 *     part out
 * @param traffic when invocations arrive in the open loop
 * @param perSecondCsv CSV file for the counts and percentiles of each second; null for none
 */
public record LoadRun(
    int hosts,
    int connections,
    int concurrency,
    int size,
    int functions,
    int seconds,
    double rate,
    int inFlightCheck,
    ArrivalConfig traffic,
    Path perSecondCsv) {

  private static final String TRIGGER_TYPE = "check";
  private static final Span CLIENT_TIMEOUT = Span.ofMillis(3_000);
  private static final Span SLOW_CLIENT_TIMEOUT = Span.ofMillis(10_000);
  private static final Span SLOW_HOST_DELAY = Span.ofMillis(1_000);
  private static final Span IN_FLIGHT_DURATION = Span.ofMillis(3_000);
  private static final Span DRAIN_TIMEOUT = Span.ofMillis(500);
  private static final double DEFAULT_RATE_SHARE = 0.5;
  private static final double[] PERCENTILES = {50, 99, 99.9};

  /** Limits that lie above everything that is sent here. */
  private static final AdmissionController.Limits WIDE_LIMITS =
      new AdmissionController.Limits(
          100_000, 1L << 30, 8, 50_000, 512L << 20, 64L << 20, 512L << 20, Span.ofMillis(10_000));

  private static final UpstreamLimits WIDE_LINKS =
      new UpstreamLimits(
          4,
          2_048,
          1_000,
          50_000,
          50_000,
          64L << 20,
          8 << 20,
          Span.ofMillis(2_000),
          Span.ofMillis(5_000),
          Span.ofMillis(60_000));
  private static final FrontLimits WIDE_FRONT = new FrontLimits(1_024, 8 << 20, Span.ZERO);

  /**
   * Measures and prints the results. Blocks.
   *
   * @return whether everything sent was answered
   */
  public boolean run(PrintStream print) throws IOException {
    try (LoadEnvironment environment = new LoadEnvironment("flintlead-load")) {
      Flintlead gateway = startGateway(environment, Span.ZERO, "w");
      List<Address> bare = new ArrayList<>();
      for (int i = 0; i < hosts; i++) {
        bare.add(environment.socket("w-" + i));
      }
      Address front = ClientFront.open(gateway, environment.socket("front"), WIDE_FRONT);
      NettyEventLoop clients = environment.startLoop("clients");
      LoadGenerator direct = loader(clients, bare, CLIENT_TIMEOUT);
      LoadGenerator through = loader(clients, List.of(front), CLIENT_TIMEOUT);
      LoadGenerator.Measurement throughput = measureThroughput(direct, through, print);
      double perSecond = rate > 0 ? rate : DEFAULT_RATE_SHARE * throughput.perSecond();
      LoadGenerator.Measurement times = measureLatency(direct, through, perSecond, print);
      boolean allAnswered = times.other() == 0 && throughput.other() == 0;
      gateway.stop(DRAIN_TIMEOUT).join();
      boolean inFlightMeasured = inFlightCheck == 0 || measureInFlight(environment, print);
      return allAnswered && inFlightMeasured;
    }
  }

  private LoadGenerator loader(NettyEventLoop loop, List<Address> targets, Span timeout) {
    return new LoadGenerator(loop, targets, connections, size, functions, TRIGGER_TYPE, timeout, 1);
  }

  private Span partDuration() {
    return Span.ofMillis(seconds * 1000.0);
  }

  // ---- throughput and latency ----

  /** Returns what was measured through the gateway. */
  private LoadGenerator.Measurement measureThroughput(
      LoadGenerator direct, LoadGenerator through, PrintStream print) {
    // Once each to warm up.
    direct.runClosedLoop(concurrency, partDuration());
    through.runClosedLoop(concurrency, partDuration());
    LoadGenerator.Measurement bare = direct.runClosedLoop(concurrency, partDuration());
    LoadGenerator.Measurement gateway = through.runClosedLoop(concurrency, partDuration());
    print.printf(
        "the most with %d out, %d byte payloads: bare %.0f/s, through the gateway %.0f/s (%.2f)%n",
        concurrency,
        size,
        bare.perSecond(),
        gateway.perSecond(),
        gateway.perSecond() / bare.perSecond());
    return gateway;
  }

  /** Returns what was measured through the gateway. */
  private LoadGenerator.Measurement measureLatency(
      LoadGenerator direct, LoadGenerator through, double perSecond, PrintStream print)
      throws IOException {
    // Once to warm up.
    through.runOpenLoop(perSecond, partDuration());
    LoadGenerator.Measurement bare = direct.runOpenLoop(perSecond, partDuration());
    LoadGenerator.Measurement gateway =
        through.runOpenLoop(traffic.start(perSecond, new Random(1)), partDuration());
    if (perSecondCsv != null) {
      writeCsv(perSecondCsv, gateway);
    }
    print.printf(
        "open loop at %.0f/s: %d sent, %d succeeded, %d throttled, %d other%n",
        perSecond, gateway.sent(), gateway.succeeded(), gateway.throttled(), gateway.other());
    for (double percentile : PERCENTILES) {
      long without = bare.micros().getValueAtPercentile(percentile);
      long with = gateway.micros().getValueAtPercentile(percentile);
      String name =
          percentile == Math.rint(percentile)
              ? Long.toString((long) percentile)
              : Double.toString(percentile);
      print.printf(
          "  p%-5s bare %6d us, through the gateway %6d us: %6d us added, ratio %.2f%n",
          name, without, with, with - without, (double) with / without);
    }
    return gateway;
  }

  /** One line per second, by when invocations were due, not by when they were answered. */
  private static void writeCsv(Path file, LoadGenerator.Measurement measured) throws IOException {
    StringBuilder text =
        new StringBuilder("second,sent,succeeded,throttled,other,p50_us,p99_us,max_us\n");
    for (int i = 0; i < measured.seconds().size(); i++) {
      LoadGenerator.SecondBucket each = measured.seconds().get(i);
      text.append(i)
          .append(',')
          .append(each.sent)
          .append(',')
          .append(each.micros.getTotalCount())
          .append(',')
          .append(each.throttled)
          .append(',')
          .append(each.other)
          .append(',')
          .append(each.micros.getValueAtPercentile(50))
          .append(',')
          .append(each.micros.getValueAtPercentile(99))
          .append(',')
          .append(each.micros.getMaxValue())
          .append('\n');
    }
    Files.writeString(file, text);
  }

  // ---- many in flight ----

  private boolean measureInFlight(LoadEnvironment environment, PrintStream print)
      throws IOException {
    Flintlead gateway = startGateway(environment, SLOW_HOST_DELAY, "slow");
    Address front = ClientFront.open(gateway, environment.socket("slow-front"), WIDE_FRONT);
    LoadGenerator loader =
        loader(environment.startLoop("many"), List.of(front), SLOW_CLIENT_TIMEOUT);
    LoadGenerator.Measurement measured = loader.runClosedLoop(inFlightCheck, IN_FLIGHT_DURATION);
    Runtime java = Runtime.getRuntime();
    print.printf(
        "%d in flight: %d succeeded, %d throttled, %d other; heap %d MB used of %d MB%n",
        inFlightCheck,
        measured.succeeded(),
        measured.throttled(),
        measured.other(),
        (java.totalMemory() - java.freeMemory()) >> 20,
        java.maxMemory() >> 20);
    gateway.stop(DRAIN_TIMEOUT).join();
    return measured.other() == 0;
  }

  // ---- the gateway and its hosts ----

  private Flintlead startGateway(LoadEnvironment environment, Span hostDelay, String hostPrefix)
      throws IOException {
    List<HostSpec> list = new ArrayList<>();
    NettyEventLoop[] hostLoops = {
      environment.startLoop("hosts-0"), environment.startLoop("hosts-1")
    };
    for (int i = 0; i < hosts; i++) {
      String name = hostPrefix + "-" + i;
      Address address =
          new EchoHost(name, hostLoops[i % 2], hostDelay).listen(environment.socket(name));
      list.add(HostSpec.ready(name, address));
    }
    Flintlead gateway =
        Flintlead.of(gatewayConfig())
            .admissionLimits(WIDE_LIMITS)
            .upstreamLimits(WIDE_LINKS)
            .seed(1)
            .start();
    gateway.replaceHosts(list);
    return gateway;
  }

  /**
   * Many slots per instance: the gateway is measured, not the wait for a slot of an imagined host.
   */
  private static GatewayConfig gatewayConfig() {
    GatewayConfig usual = GatewayConfig.example("gw");
    GatewayConfig.Footprint manySlots = new GatewayConfig.Footprint(1, 1_000, Span.ofMillis(10));
    List<GatewayConfig.Trigger> triggers =
        usual.triggerTypes().stream()
            .map(
                each ->
                    new GatewayConfig.Trigger(
                        each.name(),
                        each.latencyObjective(),
                        each.clientTimeout(),
                        each.billedValue(),
                        each.effect(),
                        each.group(),
                        each.window(),
                        manySlots))
            .toList();
    return new GatewayConfig(
        "gw",
        0,
        1,
        0,
        triggers,
        usual.customers(),
        usual.functions(),
        usual.rules(),
        usual.hosts());
  }
}
