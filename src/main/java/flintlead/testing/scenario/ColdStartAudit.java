package flintlead.testing.scenario;

import flintlead.testing.emulator.ExecutionLog;
import flintlead.testing.emulator.HostModel;
import flintlead.time.Span;
import java.util.Comparator;
import java.util.List;

/**
 * Audits rule 4: work sent to a cold host within any window stays under a multiple of what it can
 * do then.
 */
final class ColdStartAudit {

  /** The slack for chance that the hosts themselves allow. */
  private static final double SLACK_MS = 200;

  private final HostModel hostModel;
  private final Violations violations;

  ColdStartAudit(HostModel hostModel, Violations violations) {
    this.hostModel = hostModel;
    this.violations = violations;
  }

  void audit(ExecutionLog log) {
    log.starts.stream()
        .filter(ExecutionLog.HostStart::cold)
        .forEach(start -> auditColdStart(log, start));
    log.collapses.forEach(collapse -> violations.add(4, collapse.host() + " fell over"));
  }

  private void auditColdStart(ExecutionLog log, ExecutionLog.HostStart start) {
    List<ExecutionLog.Arrival> sent =
        log.arrivals.stream()
            .filter(
                arrival ->
                    arrival.host.equals(start.host()) && arrival.incarnation == start.incarnation())
            .sorted(Comparator.comparing(arrival -> arrival.at))
            .toList();
    int from = 0;
    double workMs = 0;
    for (ExecutionLog.Arrival arrival : sent) {
      Span age = arrival.at.since(start.at());
      if (!age.isShorterThan(hostModel.slowStartDuration())) {
        return;
      }
      workMs += arrival.workMs;
      while (arrival.at.since(sent.get(from).at).isLongerThan(hostModel.overloadWindow())) {
        workMs -= sent.get(from++).workMs;
      }
      double allowedMs = coldBudgetMs(start, age);
      if (workMs > allowedMs) {
        violations.add(
            4,
            start.host()
                + " got "
                + Math.round(workMs)
                + " ms of work within its window "
                + age.micros() / 1000
                + " ms after its start, at most "
                + Math.round(allowedMs)
                + " allowed");
        return;
      }
    }
  }

  private double coldBudgetMs(ExecutionLog.HostStart start, Span age) {
    double warm =
        hostModel.slowStartFraction()
            + (1 - hostModel.slowStartFraction()) * age.ratioTo(hostModel.slowStartDuration());
    return hostModel.overloadFactor()
            * warm
            * start.coresTimesSpeed()
            * hostModel.overloadWindow().micros()
            / 1000
        + SLACK_MS;
  }
}
