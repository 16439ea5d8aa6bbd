package flintlead.golden;

import flintlead.gateway.GatewayConfig;
import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.TriggerType;
import flintlead.testing.arrivals.ArrivalConfig;
import flintlead.testing.arrivals.WorkModel;
import flintlead.testing.emulator.HostModel;
import flintlead.testing.scenario.Fault;
import flintlead.testing.scenario.NetworkModel;
import flintlead.testing.scenario.PoolSchedule;
import flintlead.testing.scenario.Scenario;
import flintlead.time.Span;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Values as lines under labels of the tests' own, so that a component that gets another name shows
 * in no golden file.
 */
final class Printed {

  private final StringBuilder text = new StringBuilder();
  private String under = "";

  /** From now on labels stand under that one. */
  Printed under(String label) {
    under = label.isEmpty() ? "" : label + ".";
    return this;
  }

  Printed line(String label, Object value) {
    text.append(under)
        .append(label)
        .append(" = ")
        .append(value instanceof Span span ? span.micros() + " us" : value)
        .append('\n');
    return this;
  }

  @Override
  public String toString() {
    return text.toString();
  }

  Printed terms(GatewayConfig terms) {
    under("gateway")
        .line("name", terms.gatewayName())
        .line("index", terms.index())
        .line("of", terms.gatewayCount())
        .line("zone", terms.zone());
    for (GatewayConfig.Trigger each : terms.triggerTypes()) {
      under("triggerType " + each.name())
          .line("latencyObjective", each.latencyObjective())
          .line("clientTimeout", each.clientTimeout())
          .line("billedValue", each.billedValue())
          .line("effect", effect(each.effect()))
          .line("group", group(each.group()))
          .line("window", each.window())
          .line("footprint", footprint(each.footprint()));
    }
    under("");
    terms.customers().forEach(each -> line("customer " + each.name(), each.ratePerSecond()));
    new TreeMap<>(terms.functions())
        .forEach((name, each) -> line("function " + name, footprint(each)));
    return rules(terms.rules()).hosts(terms.hosts());
  }

  private static String footprint(GatewayConfig.Footprint footprint) {
    return footprint.memoryMb()
        + " MB, "
        + footprint.slotsPerInstance()
        + " lanes, "
        + footprint.loadTime().micros()
        + " us";
  }

  private Printed rules(GatewayConfig.SchedulingRules rules) {
    return under("rules")
        .line("answerSlack", rules.answerSlack())
        .line("drainGrace", rules.drainGrace())
        .line("coldFrom", rules.slowStartFraction())
        .line("warmAfter", rules.slowStartDuration())
        .line("fallMultiple", rules.overloadFactor())
        .line("overloadFor", rules.overloadWindow())
        .line("loadsWithin", rules.loadOrderWindow())
        .line("freeLoads", rules.loadOrderBurst())
        .line("loadShare", rules.loadOrderShare());
  }

  private Printed hosts(GatewayConfig.HostCapabilities hosts) {
    return under("workers")
        .line("dispatches", hosts.attemptLimit())
        .line("secondCopies", hosts.supportsHedging())
        .line("loadWhenAbsent", hosts.hostLoadsOnMiss())
        .line("orders", hosts.supportsLoadOrders())
        .line("tellWarm", hosts.reportsWarm())
        .line("tellCrowd", hosts.reportsConcurrency())
        .line("idleLife", hosts.instanceKeepAlive())
        .line("loadWait", hosts.loadTimeout())
        .line("reports", hosts.reportNames());
  }

  static String effect(TriggerType.Effect effect) {
    return switch (effect) {
      case IDEMPOTENT -> "may run twice";
      case TOKENED -> "repeats are dropped by token";
      case NON_IDEMPOTENT -> "must not run twice";
    };
  }

  static String group(TriggerType.Group group) {
    return switch (group) {
      case ALL -> "everywhere";
      case ZONE -> "in a zone";
      case CELL -> "in a cell";
    };
  }

  Printed deployment(Deployment told) {
    under("told")
        .line("index", told.index())
        .line("group_size", told.gateways())
        .line("zone", told.zone())
        .line("tick", told.tick())
        .line("on_request", told.requiresHostSubscription())
        .line("quotas", told.customerQuotas())
        .line("names", told.reportNames());
    for (int i = 0; i < told.triggerTypes().size(); i++) {
      TriggerType type = told.triggerTypes().get(i);
      under("service " + i)
          .line("aim", type.latencyObjective())
          .line("worth", type.billedValue())
          .line("effect", effect(type.effect()))
          .line("group", group(type.group()))
          .line("window", type.window())
          .line("streaming", type.streaming());
    }
    under("rules")
        .line("answer_slack", told.answerSlack())
        .line("ask_within", told.firstAttemptWithin())
        .line("cold_from", told.slowStartFraction())
        .line("warm_after", told.slowStartDuration())
        .line("fall_multiple", told.overloadFactor())
        .line("overload_for", told.overloadWindow());
    under("limits")
        .line("attempts_cap", told.attemptLimit())
        .line("cancel", told.supportsCancellation())
        .line("second_copies", told.supportsHedging())
        .line("probes", told.supportsProbes())
        .line("peer_messages", told.supportsPeers())
        .line("retry_after", told.supportsRetryAfter())
        .line("max_retry_after", told.maxRetryAfter());
    return under("extra")
        .line("loads when absent", told.hostLoadsOnMiss())
        .line("may_order", told.supportsLoadOrders())
        .line("tells_warm", told.reportsWarm())
        .line("counts_alike", told.reportsConcurrency())
        .line("idle_life", told.instanceKeepAlive())
        .line("load_wait", told.loadTimeout())
        .line("loads_within", told.loadOrderWindow())
        .line("free_loads", told.loadOrderBurst())
        .line("load_share", told.loadOrderShare());
  }

  Printed plan(Scenario plan) {
    under("day")
        .line("name", plan.name())
        .line("lasts", plan.duration())
        .line("gateways", plan.gateways())
        .line("hosts", plan.hosts())
        .line("zones", plan.zones())
        .line("cells", plan.cells())
        .line("perSecond", plan.invocationsPerSecond())
        .line("functions", plan.functions())
        .line("connections", plan.connections())
        .line("tries", plan.retries())
        .line("listLag", plan.hostListDelay())
        .line("storeAtOnce", plan.storeConcurrency())
        .line("halls", plan.halls())
        .line("warmUp", plan.warmUp())
        .line("policy", plan.policy())
        .line("peers", plan.peers())
        .line("keeps", plan.persistsObservations())
        .line(
            "registry",
            plan.registry() == null
                ? "none"
                : switch (plan.registry()) {
                  case ETCD -> "etcd";
                  case CONSUL -> "consul";
                });
    make("host", plan.hostModel());
    plan.machineKinds()
        .forEach(
            each ->
                under("")
                    .line("machine " + each.kind(), each.share())
                    .make("machine " + each.kind(), each.model()));
    return terms(plan.gatewayConfig())
        .network(plan.network())
        .traffic(plan.traffic())
        .work(plan.work())
        .troubles(plan.faults())
        .ways(plan.poolSchedule());
  }

  private Printed make(String label, HostModel make) {
    return under(label)
        .line("cores", make.cores())
        .line("speed", make.speed())
        .line("memoryMb", make.memoryMb())
        .line("queue", make.queueCapacity())
        .line("loadsAtOnce", make.concurrentLoads())
        .line("loadsWhenAbsent", make.loadsOnMiss())
        .line("addsCopies", make.scalesOut())
        .line("idleLife", make.instanceKeepAlive())
        .line("coldFrom", make.slowStartFraction())
        .line("warmAfter", make.slowStartDuration())
        .line("fallMultiple", make.overloadFactor())
        .line("overloadFor", make.overloadWindow())
        .line("tokened", new TreeSet<>(make.deduplicatedTypes()))
        .line("workMs", make.defaultWorkMs());
  }

  private Printed network(NetworkModel network) {
    return under("network")
        .line("latency", network.latency())
        .line("jitter", network.jitter())
        .line("window", network.windowBytes())
        .line("betweenHalls", network.interHallLatency())
        .line("loss", network.lossRate())
        .line("resend", network.retransmitTimeout())
        .line("bytesPerSecond", network.bytesPerSecond());
  }

  private Printed traffic(ArrivalConfig traffic) {
    return under("arrivals")
        .line(
            "process",
            switch (traffic.process()) {
              case POISSON -> "poisson";
              case BURSTS -> "bursts";
              case DIURNAL -> "diurnal";
              case TRACE -> "trace";
            })
        .line("factor", traffic.factor())
        .line("calm", traffic.calm())
        .line("burst", traffic.burst())
        .line("swing", traffic.amplitude())
        .line("trace", traffic.trace());
  }

  private Printed work(WorkModel work) {
    return under("work")
        .line(
            "shape",
            switch (work.shape()) {
              case FIXED -> "fixed";
              case GAMMA -> "gamma";
              case LOGNORMAL -> "lognormal";
              case PARETO -> "pareto";
            })
        .line("meanMs", work.meanMs())
        .line("spread", work.variation())
        .line("acrossFunctions", work.variationAcrossFunctions());
  }

  private Printed troubles(List<Fault> troubles) {
    under("");
    for (int i = 0; i < troubles.size(); i++) {
      Fault each = troubles.get(i);
      line(
          "trouble " + i,
          "kind "
              + each.kind().ordinal()
              + " at "
              + each.startsAt().micros()
              + " us for "
              + each.duration().micros()
              + " us, part "
              + each.fraction()
              + ", size "
              + each.severity()
              + ", length "
              + each.episodeDuration().micros()
              + " us");
    }
    return this;
  }

  private Printed ways(PoolSchedule ways) {
    under("").line("layout", "\n" + ways.layout().toText().stripTrailing());
    if (ways.change() != null) {
      under("shift")
          .line("at", ways.change().startsAt())
          .line("steps", ways.change().steps())
          .line("every", ways.change().stepInterval())
          .line("back", ways.change().revertsAt())
          .line("to", "\n" + ways.change().target().toText().stripTrailing());
    }
    return this;
  }
}
