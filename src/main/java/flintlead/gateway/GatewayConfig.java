package flintlead.gateway;

import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.TriggerType;
import flintlead.scheduling.api.TriggerType.Effect;
import flintlead.scheduling.api.TriggerType.Group;
import flintlead.time.Span;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The configuration of one gateway: what is invoked, by whom, by what rules, and what the hosts can
 * do. The scheduler decides what is made of it.
 *
 * @param gatewayName the gateway's name
 * @param index the gateway's own number, from 0
 * @param gatewayCount how many there are; slow start and rate limits are divided by it
 * @param zone the zone that the gateway is in
 * @param functions footprints of single functions; others have that of their trigger type
 */
public record GatewayConfig(
    String gatewayName,
    int index,
    int gatewayCount,
    int zone,
    List<Trigger> triggerTypes,
    List<Customer> customers,
    Map<String, Footprint> functions,
    SchedulingRules rules,
    HostCapabilities hosts) {

  /** The scheduler's unit for margins before deadlines. */
  private static final Span TICK = Span.ofMillis(4);

  private static final Span MAX_RETRY_AFTER = Span.ofMillis(5_000);

  /**
   * A trigger type.
   *
   * @param latencyObjective within which a success counts as good
   * @param clientTimeout for invocations that bring none
   * @param billedValue the priority weight relative to other trigger types
   * @param effect what a second run does
   * @param group the hosts that recognise a repeat of a tokened invocation
   * @param window how long those hosts know the token; zero if it is not tokened
   */
  public record Trigger(
      String name,
      Span latencyObjective,
      Span clientTimeout,
      double billedValue,
      Effect effect,
      Group group,
      Span window,
      Footprint footprint) {

    private TriggerType schedulingRow() {
      return new TriggerType(latencyObjective, billedValue, effect, group, window, false);
    }
  }

  /**
   * A customer.
   *
   * @param ratePerSecond its rate limit, in invocations a second over all gateways
   */
  public record Customer(String name, double ratePerSecond) {}

  /**
   * What an instance takes.
   *
   * @param memoryMb its memory in MB
   * @param slotsPerInstance the invocations it runs at a time
   * @param loadTime how long it takes to load
   */
  public record Footprint(double memoryMb, double slotsPerInstance, Span loadTime) {}

  /**
   * The figures of the scheduling rules.
   *
   * @param answerSlack how long after its deadline an invocation may still be answered
   * @param drainGrace how long after a host began to drain requests may still reach it
   * @param slowStartFraction the part of a warm host's load that a cold one starts with
   * @param slowStartDuration how long a host takes to warm up
   * @param overloadFactor how many times the usual load counts as overload
   * @param overloadWindow the window in which that is judged
   * @param loadOrderWindow the window in which load orders are limited
   * @param loadOrderBurst load orders that are always allowed in the window
   * @param loadOrderShare further load orders, as a share of the invocations in the window
   */
  public record SchedulingRules(
      Span answerSlack,
      Span drainGrace,
      double slowStartFraction,
      Span slowStartDuration,
      double overloadFactor,
      Span overloadWindow,
      Span loadOrderWindow,
      double loadOrderBurst,
      double loadOrderShare) {

    /** The figures that a configuration may leave out. */
    public static final SchedulingRules DEFAULTS =
        new SchedulingRules(
            Span.ofMillis(50),
            Span.ofMillis(1000),
            0.25,
            Span.ofMillis(17_000),
            2.5,
            Span.ofMillis(3000),
            Span.ofMillis(5000),
            2,
            0.3);
  }

  /**
   * What the hosts do and report.
   *
   * @param attemptLimit the most attempts of one invocation
   * @param supportsHedging whether an invocation may run at two hosts at once (hedging)
   * @param hostLoadsOnMiss whether a host loads a function that it has not; else it answers a miss
   * @param supportsLoadOrders whether hosts take load orders
   * @param reportsWarm whether answers say how an instance was found
   * @param reportsConcurrency whether answers say how many invocations the host runs
   * @param instanceKeepAlive how long hosts keep an idle instance
   * @param loadTimeout how long the answer to a load order is awaited
   * @param reportNames the values of a load report, the one that every report has first
   */
  public record HostCapabilities(
      int attemptLimit,
      boolean supportsHedging,
      boolean hostLoadsOnMiss,
      boolean supportsLoadOrders,
      boolean reportsWarm,
      boolean reportsConcurrency,
      Span instanceKeepAlive,
      Span loadTimeout,
      List<String> reportNames) {

    /** Hosts that do and report all but hedging. */
    public static final HostCapabilities DEFAULTS =
        new HostCapabilities(
            4,
            false,
            true,
            true,
            true,
            true,
            Span.ofMillis(9_000),
            Span.ofMillis(10_000),
            List.of("waiting"));
  }

  /** Throws IllegalArgumentException if two items have one name or there is no trigger type. */
  public GatewayConfig {
    triggerTypes = List.copyOf(triggerTypes);
    customers = List.copyOf(customers);
    functions = Map.copyOf(functions);
    if (triggerTypes.isEmpty()) {
      throw new IllegalArgumentException("there must be at least one trigger type");
    }
    if (gatewayCount < 1 || index < 0 || index >= gatewayCount) {
      throw new IllegalArgumentException(
          "index " + index + " must lie from 0 to below gateways " + gatewayCount);
    }
    requireDistinct("trigger type", triggerTypes.stream().map(Trigger::name).toList());
    requireDistinct("customer", customers.stream().map(Customer::name).toList());
  }

  private static void requireDistinct(String kind, List<String> names) {
    Set<String> seen = new HashSet<>();
    for (String name : names) {
      if (!seen.add(name)) {
        throw new IllegalArgumentException(kind + " '" + name + "' stands twice");
      }
    }
  }

  /** A configuration with a trigger type of each effect, for demonstration and tests. */
  public static GatewayConfig example(String gateway) {
    Footprint footprint = new Footprint(200, 2, Span.ofMillis(250));
    return new GatewayConfig(
        gateway,
        0,
        1,
        0,
        List.of(
            new Trigger(
                "check",
                Span.ofMillis(750),
                Span.ofMillis(3_000),
                3,
                Effect.IDEMPOTENT,
                Group.ALL,
                Span.ZERO,
                footprint),
            new Trigger(
                "lodge",
                Span.ofMillis(1_200),
                Span.ofMillis(3_000),
                9,
                Effect.TOKENED,
                Group.CELL,
                Span.ofMillis(2_000),
                footprint),
            new Trigger(
                "apply",
                Span.ofMillis(1_200),
                Span.ofMillis(3_000),
                6,
                Effect.NON_IDEMPOTENT,
                Group.ALL,
                Span.ZERO,
                footprint)),
        List.of(),
        Map.of(),
        SchedulingRules.DEFAULTS,
        HostCapabilities.DEFAULTS);
  }

  /** The same configuration for another gateway of the same installation. */
  public GatewayConfig forGateway(String gateway, int index, int gateways) {
    return new GatewayConfig(
        gateway, index, gateways, zone, triggerTypes, customers, functions, rules, hosts);
  }

  /** The index of the trigger type; -1 if there is none of that name. */
  int triggerType(String name) {
    for (int i = 0; i < triggerTypes.size(); i++) {
      if (triggerTypes.get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /** The index of the customer; -1 if there is none of that name. */
  int customer(String name) {
    for (int i = 0; i < customers.size(); i++) {
      if (customers.get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /** What an instance of the function takes. */
  Footprint footprint(String function, Trigger trigger) {
    return functions.isEmpty()
        ? trigger.footprint()
        : functions.getOrDefault(function, trigger.footprint());
  }

  /** The configuration in the scheduler's form. */
  Deployment deployment(boolean peers) {
    return new Deployment(
        index,
        gatewayCount,
        zone,
        TICK,
        false,
        triggerTypes.stream().map(Trigger::schedulingRow).toList(),
        customers.stream().map(Customer::ratePerSecond).toList(),
        rules.answerSlack(),
        Span.ZERO,
        rules.slowStartFraction(),
        rules.slowStartDuration(),
        rules.overloadFactor(),
        rules.overloadWindow(),
        hosts.attemptLimit(),
        true,
        hosts.supportsHedging(),
        true,
        peers,
        true,
        MAX_RETRY_AFTER,
        hosts.hostLoadsOnMiss(),
        hosts.supportsLoadOrders(),
        hosts.reportsWarm(),
        hosts.reportsConcurrency(),
        hosts.instanceKeepAlive(),
        hosts.loadTimeout(),
        rules.loadOrderWindow(),
        rules.loadOrderBurst(),
        rules.loadOrderShare(),
        hosts.reportNames());
  }
}
