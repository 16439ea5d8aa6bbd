package flintlead.configuration.yaml;

import flintlead.gateway.GatewayConfig;
import flintlead.scheduling.api.TriggerType.Effect;
import flintlead.scheduling.api.TriggerType.Group;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the configuration of a gateway: trigger types, customers, functions, scheduling rules and
 * capabilities of the hosts.
 */
public final class GatewayConfigReader {

  private static final Span MIN_SPAN = new Span(1);
  private static final Span MAX_SPAN = Span.ofMillis(3_600_000);
  private static final Span MAX_TIMEOUT = Span.ofMillis(600_000);
  private static final double MAX_NUMBER = 1e9;
  private static final int MAX_ID = 65_535;

  private GatewayConfigReader() {}

  /**
   * Reads a gateway's configuration.
   *
   * @param gateway the gateway's name where the file gives none
   * @param faults collects what is wrong; where there is anything, the returned configuration must
   *     not be used
   */
  public static GatewayConfig read(YamlSection top, String gateway, ConfigurationErrors faults) {
    List<GatewayConfig.Trigger> triggers = triggers(top);
    List<GatewayConfig.Customer> customers = customers(top);
    Map<String, GatewayConfig.Footprint> functions = functions(top);
    YamlSection group = top.section("gateway");
    int index = group.integer("index", 0, 0, MAX_ID - 1);
    int gateways = group.integer("of", 1, 1, MAX_ID);
    String name = group.string("name", gateway);
    int zone = group.integer("zone", 0, 0, MAX_ID);
    group.rejectUnknownKeys();
    GatewayConfig.SchedulingRules rules = rules(top.section("rules"));
    GatewayConfig.HostCapabilities hosts = hosts(top.section("workers"));
    try {
      return new GatewayConfig(
          name, index, gateways, zone, triggers, customers, functions, rules, hosts);
    } catch (IllegalArgumentException e) {
      faults.add(
          top.line(),
          "triggerTypes, customers or gateway",
          e.getMessage(),
          "see the example in docs/operating.md");
      return GatewayConfig.example(gateway);
    }
  }

  private static List<GatewayConfig.Trigger> triggers(YamlSection top) {
    List<GatewayConfig.Trigger> triggers = new ArrayList<>();
    for (YamlSection each : top.sections("triggerTypes")) {
      triggers.add(trigger(each));
    }
    return triggers;
  }

  private static List<GatewayConfig.Customer> customers(YamlSection top) {
    List<GatewayConfig.Customer> customers = new ArrayList<>();
    for (YamlSection each : top.sections("customers")) {
      customers.add(
          new GatewayConfig.Customer(
              each.string("name", null), each.number("perSecond", 100, 0, MAX_NUMBER)));
      each.rejectUnknownKeys();
    }
    return customers;
  }

  private static Map<String, GatewayConfig.Footprint> functions(YamlSection top) {
    Map<String, GatewayConfig.Footprint> functions = new HashMap<>();
    for (YamlSection each : top.sections("functions")) {
      functions.put(each.string("name", null), footprint(each));
      each.rejectUnknownKeys();
    }
    return functions;
  }

  private static GatewayConfig.Trigger trigger(YamlSection from) {
    Span objective = from.span("latencyObjective", Span.ofMillis(1_000), MIN_SPAN, MAX_TIMEOUT);
    Span timeout = from.span("clientTimeout", Span.ofMillis(3_000), MIN_SPAN, MAX_TIMEOUT);
    if (objective.isLongerThan(timeout)) {
      from.addError("latencyObjective", "is longer than the client timeout", "make it shorter");
    }
    GatewayConfig.Trigger trigger =
        new GatewayConfig.Trigger(
            from.string("name", null),
            objective,
            timeout,
            from.number("billedValue", 1, 0, MAX_NUMBER),
            from.enumValue("effect", Effect.NON_IDEMPOTENT),
            from.enumValue("group", Group.ALL),
            from.span("window", Span.ofMillis(2_000), Span.ZERO, MAX_SPAN),
            footprint(from));
    from.rejectUnknownKeys();
    return trigger;
  }

  private static GatewayConfig.Footprint footprint(YamlSection from) {
    return new GatewayConfig.Footprint(
        from.number("memoryMb", 200, 0, MAX_NUMBER),
        from.number("lanes", 1, 1, 1_000),
        from.span("load", Span.ofMillis(300), Span.ZERO, MAX_SPAN));
  }

  /** Reads the scheduling rules; faults are collected in the section. */
  public static GatewayConfig.SchedulingRules rules(YamlSection from) {
    GatewayConfig.SchedulingRules usual = GatewayConfig.SchedulingRules.DEFAULTS;
    GatewayConfig.SchedulingRules rules =
        new GatewayConfig.SchedulingRules(
            from.span("answerSlack", usual.answerSlack(), Span.ZERO, MAX_SPAN),
            from.span("drainGrace", usual.drainGrace(), Span.ZERO, MAX_SPAN),
            from.number("coldFrom", usual.slowStartFraction(), 0.001, 1),
            from.span("warmAfter", usual.slowStartDuration(), MIN_SPAN, MAX_SPAN),
            from.number("fallMultiple", usual.overloadFactor(), 0.1, 1_000),
            from.span("overloadFor", usual.overloadWindow(), MIN_SPAN, MAX_SPAN),
            from.span("loadsWithin", usual.loadOrderWindow(), Span.ZERO, MAX_SPAN),
            from.number("freeLoads", usual.loadOrderBurst(), 0, MAX_NUMBER),
            from.number("loadShare", usual.loadOrderShare(), 0, 100));
    from.rejectUnknownKeys();
    return rules;
  }

  /** Reads what the hosts are capable of; faults are collected in the section. */
  public static GatewayConfig.HostCapabilities hosts(YamlSection from) {
    GatewayConfig.HostCapabilities usual = GatewayConfig.HostCapabilities.DEFAULTS;
    GatewayConfig.HostCapabilities hosts =
        new GatewayConfig.HostCapabilities(
            from.integer("dispatches", usual.attemptLimit(), 1, 16),
            from.flag("secondCopies", usual.supportsHedging()),
            from.flag("loadWhenAbsent", usual.hostLoadsOnMiss()),
            from.flag("orders", usual.supportsLoadOrders()),
            from.flag("tellWarm", usual.reportsWarm()),
            from.flag("tellCrowd", usual.reportsConcurrency()),
            from.span("idleLife", usual.instanceKeepAlive(), MIN_SPAN, MAX_SPAN),
            from.span("loadWait", usual.loadTimeout(), MIN_SPAN, MAX_SPAN),
            from.strings("reports", usual.reportNames()));
    from.rejectUnknownKeys();
    return hosts;
  }
}
