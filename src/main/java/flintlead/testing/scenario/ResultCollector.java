package flintlead.testing.scenario;

import flintlead.client.ClientResponse;
import flintlead.gateway.CountersSnapshot;
import flintlead.gateway.Flintlead;
import flintlead.routing.pool.Layout;
import flintlead.routing.pool.PoolSnapshot;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.api.TriggerType.Group;
import flintlead.testing.emulator.ExecutionLog;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

/** Gathers what the gateways counted and what hosts and clients saw into the result of a run. */
final class ResultCollector {

  private final RunContext context;
  private final HostFleet hosts;
  private final GatewayFleet gateways;
  private final ScenarioClients clients;
  private final OutcomeRecorder outcomes;
  private final Map<String, Long> counters = new TreeMap<>();

  ResultCollector(
      RunContext context,
      HostFleet hosts,
      GatewayFleet gateways,
      ScenarioClients clients,
      OutcomeRecorder outcomes) {
    this.context = context;
    this.hosts = hosts;
    this.gateways = gateways;
    this.clients = clients;
    this.outcomes = outcomes;
  }

  /** Collects the result; not from an event loop, as it waits for the gateways. */
  ScenarioResult collect(long invocations, HostNoticeLog notices, FaultInjector faults) {
    for (GatewaySite site : gateways.sites()) {
      if (site.up) {
        countGateway(site);
      }
    }
    ScenarioResult[] result = new ScenarioResult[1];
    // On both loops at once: what hosts and clients have recorded is read here.
    RunContext.runOn(
        context.clientLoop,
        () ->
            RunContext.runOn(
                context.hostLoop,
                () -> {
                  recordExecutions();
                  List<Auditor.Violation> violations = audit(notices, faults);
                  ExecutionLog log = hosts.log();
                  result[0] =
                      new ScenarioResult(
                          context.scenario.name(),
                          context.seed,
                          outcomes.types(),
                          outcomes.shareOfValueInTime(),
                          log.arrivals.size(),
                          log.loads,
                          log.fetches,
                          log.orders.size(),
                          counters,
                          List.copyOf(violations),
                          invocations,
                          shareOfWorkWasted());
                }));
    return result[0];
  }

  // ---- gateways ----

  private void count(String name, long value) {
    counters.merge(name, value, Long::sum);
  }

  private void countGateway(GatewaySite site) {
    Flintlead gateway = site.gateway;
    CountersSnapshot counts = gateway.counters().join();
    count("taken", counts.accepted());
    count("turned away", counts.rejected());
    count("left", counts.clientDisconnects());
    count("open at the end", counts.pending());
    count("flights at the end", counts.unfinished());
    count("kept back by the ledger", counts.duplicatesSuppressed());
    count("answered by the ledger", counts.overdue());
    count("invariants violated", counts.violations());
    gateway.withHandler(taker -> count("in the intake at the end", taker.admission().admitted()));
    for (PoolSnapshot pool : gateway.pools().join()) {
      countPool(pool);
    }
    if (site.peers != null) {
      RunContext.runOn(
          site.loop, () -> count("facts learnt", site.peers.counters().observationsReceived()));
    }
    counts.outcomes().forEach((outcome, n) -> count("dispatch " + wireName(outcome), n));
  }

  /** The name of an outcome in the counters, which are printed as JSON keys and therefore stay. */
  private static String wireName(Outcome outcome) {
    return switch (outcome) {
      case WITHDRAWN -> "MOOT";
      case CONNECTION_LOST -> "STRAYED";
      default -> outcome.name();
    };
  }

  private void countPool(PoolSnapshot pool) {
    count("in pools at the end", pool.inHand());
    if (!context.scenario.poolSchedule().layout().equals(Layout.DEFAULT)) {
      count("pool " + pool.name() + " taken", pool.taken());
      count("pool " + pool.name() + " guests", pool.came());
      count("pool " + pool.name() + " turned away", pool.turnedAway());
      count("pools of older layouts", pool.listed() ? 0 : 1);
    }
  }

  // ---- hosts and clients ----

  private void recordExecutions() {
    EventRecorder recorder = outcomes.recorder();
    if (recorder != null) {
      hosts.log().arrivals.stream()
          .filter(arrival -> arrival.executedAt != null)
          .forEach(arrival -> recorder.recordExecution(arrival.function, arrival.host));
    }
  }

  private List<Auditor.Violation> audit(HostNoticeLog notices, FaultInjector faults) {
    ToIntFunction<String> zone = hosts::zone;
    ToIntFunction<String> cell = hosts::cell;
    Auditor auditor =
        new Auditor(
            context.scenario.gatewayConfig(),
            context.scenario.hostModel(),
            faults.stalls(),
            faults.outages());
    return auditor.audit(
        hosts.log(),
        clients.attempts(),
        notices.notices(),
        Map.of(Group.ZONE, zone, Group.CELL, cell));
  }

  /**
   * Of the work that ran to its end, what was done for invocations that did not succeed, or a
   * second time.
   */
  private double shareOfWorkWasted() {
    Map<String, Integer> unmatchedSuccesses = new HashMap<>();
    for (ClientAttempt attempt : clients.attempts()) {
      if (attempt.responses.stream()
          .anyMatch(response -> response.kind() == ClientResponse.Status.SUCCEEDED)) {
        unmatchedSuccesses.merge(attempt.token, 1, Integer::sum);
      }
    }
    double totalMs = 0;
    double usefulMs = 0;
    for (ExecutionLog.Arrival arrival : hosts.log().arrivals) {
      if (arrival.executedAt != null) {
        totalMs += arrival.workMs;
        boolean useful = unmatchedSuccesses.merge(arrival.token, -1, Integer::sum) >= 0;
        usefulMs += useful ? arrival.workMs : 0;
      }
    }
    return totalMs == 0 ? 0 : 1 - usefulMs / totalMs;
  }
}
