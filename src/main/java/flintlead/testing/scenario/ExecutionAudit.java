package flintlead.testing.scenario;

import flintlead.client.ClientResponse;
import flintlead.gateway.GatewayConfig;
import flintlead.scheduling.api.TriggerType.Effect;
import flintlead.scheduling.api.TriggerType.Group;
import flintlead.testing.emulator.ExecutionLog;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Audits rule 2: what may have run is retried only as its trigger type allows, and is never
 * reported as not run.
 */
final class ExecutionAudit {

  private final GatewayConfig config;
  private final Map<Group, ToIntFunction<String>> groupOfHost;
  private final Violations violations;

  /**
   * @param groupOfHost the group that each host belongs to, by the kind of group
   */
  ExecutionAudit(
      GatewayConfig config, Map<Group, ToIntFunction<String>> groupOfHost, Violations violations) {
    this.config = config;
    this.groupOfHost = groupOfHost;
    this.violations = violations;
  }

  void audit(ExecutionLog log, List<ClientAttempt> attempts) {
    Map<String, List<ExecutionLog.Arrival>> arrivals = arrivalsByKey(log);
    arrivals.forEach(this::auditExecutions);
    attempts.forEach(attempt -> auditThrottling(attempt, arrivals));
  }

  private GatewayConfig.Trigger trigger(String name) {
    return config.triggerTypes().stream()
        .filter(each -> each.name().equals(name))
        .findFirst()
        .orElseThrow();
  }

  private static Map<String, List<ExecutionLog.Arrival>> arrivalsByKey(ExecutionLog log) {
    Map<String, List<ExecutionLog.Arrival>> arrivals = new HashMap<>();
    for (ExecutionLog.Arrival arrival : log.arrivals) {
      arrivals.computeIfAbsent(arrival.token, any -> new ArrayList<>()).add(arrival);
    }
    return arrivals;
  }

  private void auditExecutions(String key, List<ExecutionLog.Arrival> arrivals) {
    GatewayConfig.Trigger trigger = trigger(arrivals.get(0).triggerType);
    if (trigger.effect() == Effect.IDEMPOTENT) {
      return;
    }
    ExecutionLog.Arrival firstPossiblyRun = null;
    for (ExecutionLog.Arrival arrival : arrivals) {
      if (firstPossiblyRun != null) {
        auditRetry(key, trigger, firstPossiblyRun, arrival);
      }
      if (!arrival.provenNotRun && firstPossiblyRun == null) {
        firstPossiblyRun = arrival;
      }
    }
    long ran = arrivals.stream().filter(arrival -> arrival.executedAt != null).count();
    if (ran > 1) {
      violations.add(2, key + " (" + trigger.name() + ") took effect " + ran + " times");
    }
  }

  private void auditRetry(
      String key,
      GatewayConfig.Trigger trigger,
      ExecutionLog.Arrival first,
      ExecutionLog.Arrival retry) {
    String reached = key + " (" + trigger.name() + ") reached " + retry.host + " ";
    if (trigger.effect() == Effect.NON_IDEMPOTENT) {
      violations.add(2, reached + "after it may have run at " + first.host);
      return;
    }
    ToIntFunction<String> group = groupOfHost.get(trigger.group());
    boolean inGroup = group == null || group.applyAsInt(first.host) == group.applyAsInt(retry.host);
    Span after = retry.at.since(first.at);
    if (!inGroup || !after.isShorterThan(trigger.window().plus(Violations.DELIVERY_TOLERANCE))) {
      violations.add(
          2,
          reached
              + after.micros() / 1000
              + " ms after "
              + first.host
              + ", outside its group or window");
    }
  }

  private void auditThrottling(
      ClientAttempt attempt, Map<String, List<ExecutionLog.Arrival>> arrivals) {
    GatewayConfig.Trigger trigger = trigger(attempt.triggerType);
    boolean mayRunTwice =
        trigger.effect() == Effect.IDEMPOTENT
            || trigger.effect() == Effect.TOKENED && trigger.group() == Group.ALL;
    if (mayRunTwice || !arrivals.containsKey(attempt.token)) {
      return;
    }
    for (ClientAttempt.ReceivedResponse response : attempt.responses) {
      if (response.kind() != ClientResponse.Status.THROTTLED) {
        continue;
      }
      for (ExecutionLog.Arrival arrival : arrivals.get(attempt.token)) {
        boolean ofAttempt =
            !arrival.at.isBefore(attempt.sentAt)
                && arrival.at.isBefore(response.at())
                && arrival.gateway.equals(attempt.gateway);
        if (ofAttempt && !arrival.provenNotRun) {
          violations.add(
              2,
              attempt.token
                  + " ("
                  + trigger.name()
                  + ") was throttled though it may have run at "
                  + arrival.host);
        }
      }
    }
  }
}
