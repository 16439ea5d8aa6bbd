package flintlead.testing.scenario;

import flintlead.configuration.yaml.ConfigurationErrors;
import flintlead.configuration.yaml.GatewayConfigReader;
import flintlead.configuration.yaml.YamlException;
import flintlead.configuration.yaml.YamlSection;
import flintlead.discovery.registry.RegistryConfig;
import flintlead.gateway.GatewayConfig;
import flintlead.scheduling.api.TriggerType.Effect;
import flintlead.testing.arrivals.ArrivalConfig;
import flintlead.testing.arrivals.WorkModel;
import flintlead.testing.emulator.HostModel;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Reads scenarios from YAML. What is wrong in a file is collected, not thrown. */
final class ScenarioReader {

  private static final Span NONE = Span.ZERO;
  private static final Span MAX_SPAN = Span.ofMillis(3_600_000);
  private static final int MAX_REPETITIONS = 1_000;
  private static final int MAX_CORES = 1_000;
  private static final int MAX_QUEUE = 100_000;
  private static final int MAX_CONCURRENT_LOADS = 1_000;

  private ScenarioReader() {}

  /** Reads the top section of a file, whose text is given too. */
  static Scenario read(YamlSection top, ConfigurationErrors errors, String text)
      throws YamlException {
    GatewayConfig config =
        top.has("triggerTypes") ? GatewayConfigReader.read(top, "gw", errors) : defaultConfig(top);
    Scenario scenario = read(top, config, withoutNameAndFaults(text));
    top.rejectUnknownKeys();
    return scenario;
  }

  private static Scenario read(YamlSection top, GatewayConfig config, String fileHeader) {
    HostModel hostModel = readHost(top.section("host"), config);
    List<Scenario.MachineKind> machines = readMachines(top, hostModel);
    List<Fault> scheduled = readFaults(top);
    return new Scenario(
        top.string("name", "day"),
        top.span("lasts", Span.ofMillis(10_000), NONE, MAX_SPAN),
        top.integer("gateways", 2, 1, 1_000),
        top.integer("hosts", 8, 1, 1_000),
        top.integer("zones", 2, 1, 16),
        top.integer("cells", 2, 1, 16),
        top.number("perSecond", 150, 0.1, 100_000),
        top.integer("functions", 24, 1, 100_000),
        top.integer("connections", 4, 1, 256),
        top.integer("tries", 1, 0, 10),
        top.span("listLag", Span.ofMillis(200), NONE, MAX_SPAN),
        hostModel,
        top.integer("storeAtOnce", 6, 1, 10_000),
        config,
        scheduled,
        top.has("registry") ? top.enumValue("registry", RegistryConfig.Protocol.ETCD) : null,
        fileHeader,
        machines,
        top.integer("halls", 1, 1, 16),
        NetworkModel.read(top.section("network")),
        ArrivalConfig.read(top.section("arrivals")),
        WorkModel.read(top.section("work"), hostModel.defaultWorkMs()),
        top.span("warmUp", NONE, NONE, MAX_SPAN),
        top.string("policy", Scenario.BUILT_IN_POLICY),
        top.flag("peers", false),
        PoolSchedule.read(top),
        top.flag("keeps", false));
  }

  /**
   * The default configuration, with the hosts' capabilities and the rules as far as the file names
   * them.
   */
  private static GatewayConfig defaultConfig(YamlSection top) {
    GatewayConfig usual = GatewayConfig.example("gw");
    return new GatewayConfig(
        "gw",
        0,
        1,
        0,
        usual.triggerTypes(),
        usual.customers(),
        usual.functions(),
        GatewayConfigReader.rules(top.section("rules")),
        GatewayConfigReader.hosts(top.section("workers")));
  }

  private static HostModel readHost(YamlSection host, GatewayConfig config) {
    Set<String> deduplicated =
        config.triggerTypes().stream()
            .filter(each -> each.effect() == Effect.TOKENED)
            .map(GatewayConfig.Trigger::name)
            .collect(Collectors.toSet());
    HostModel model =
        new HostModel(
            host.integer("cores", 4, 1, MAX_CORES),
            host.number("speed", 1, 0.01, 100),
            host.number("memoryMb", 4_000, 1, 1e9),
            host.integer("queue", 64, 1, MAX_QUEUE),
            host.integer("loadsAtOnce", 4, 1, MAX_CONCURRENT_LOADS),
            config.hosts().hostLoadsOnMiss(),
            host.flag("addsCopies", true),
            host.span("idleLife", Span.ofMillis(10_000), new Span(1), MAX_SPAN),
            config.rules().slowStartFraction(),
            config.rules().slowStartDuration(),
            config.rules().overloadFactor(),
            config.rules().overloadWindow(),
            deduplicated,
            host.number("workMs", 20, 0.01, 1e6));
    host.rejectUnknownKeys();
    return model;
  }

  private static List<Scenario.MachineKind> readMachines(YamlSection top, HostModel usual) {
    List<Scenario.MachineKind> machines = new ArrayList<>();
    for (YamlSection each : top.sections("machines")) {
      machines.add(
          new Scenario.MachineKind(
              each.string("kind", "kind-" + machines.size()),
              each.number("share", 1, 0.001, 1_000),
              usual.withMachine(
                  each.integer("cores", usual.cores(), 1, MAX_CORES),
                  each.number("speed", usual.speed(), 0.01, 100),
                  each.number("memoryMb", usual.memoryMb(), 1, 1e9),
                  each.integer("queue", usual.queueCapacity(), 1, MAX_QUEUE),
                  each.integer("loadsAtOnce", usual.concurrentLoads(), 1, MAX_CONCURRENT_LOADS))));
      each.rejectUnknownKeys();
    }
    if (machines.isEmpty()) {
      machines.add(new Scenario.MachineKind("usual", 1, usual));
    }
    return List.copyOf(machines);
  }

  private static List<Fault> readFaults(YamlSection top) {
    List<Fault> once = new ArrayList<>();
    for (YamlSection each : top.sections("troubles")) {
      once.add(
          new Fault(
              each.enumValue("kind", Fault.Kind.BURST),
              each.span("at", NONE, NONE, MAX_SPAN),
              each.span("for", Span.ofMillis(2_000), NONE, MAX_SPAN),
              each.number("part", 0.25, 0, 1),
              each.number("size", 2, 0, 1_000),
              each.span("length", Span.ofMillis(200), NONE, MAX_SPAN)));
      each.rejectUnknownKeys();
    }
    int times = top.integer("repeat", 1, 1, MAX_REPETITIONS);
    Span every = top.span("every", NONE, NONE, MAX_SPAN);
    List<Fault> all = new ArrayList<>(once);
    for (int i = 1; i < times; i++) {
      for (Fault each : once) {
        all.add(
            new Fault(
                each.kind(),
                each.startsAt().plus(every.times(i)),
                each.duration(),
                each.fraction(),
                each.severity(),
                each.episodeDuration()));
      }
    }
    return all;
  }

  /**
   * The lines of a file without its name, its faults and its comments, so that it can be written
   * again with others.
   */
  private static String withoutNameAndFaults(String text) {
    StringBuilder kept = new StringBuilder();
    boolean inFaults = false;
    for (String line : text.lines().toList()) {
      boolean topLevel = !line.startsWith(" ") && !line.startsWith("#") && !line.isBlank();
      inFaults = topLevel ? line.startsWith("troubles:") : inFaults;
      boolean dropped =
          inFaults
              || line.startsWith("name:")
              || line.startsWith("#")
              || line.startsWith("repeat:")
              || line.startsWith("every:");
      if (!dropped) {
        kept.append(line).append('\n');
      }
    }
    return kept.toString();
  }
}
