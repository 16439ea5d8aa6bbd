package flintlead.testing.scenario;

import flintlead.gateway.GatewayConfig;
import flintlead.testing.emulator.ExecutionLog;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Audits rule 3: nothing new reaches a host later than the grace after its gateway was notified
 * that it drains or is gone.
 */
final class DrainAudit {

  /** How long after a cut a lost message may still be retransmitted. */
  private static final Span RETRANSMISSION = Span.ofMillis(1_000);

  private final GatewayConfig config;
  private final List<Auditor.LinkOutage> outages;
  private final Violations violations;

  DrainAudit(GatewayConfig config, List<Auditor.LinkOutage> outages, Violations violations) {
    this.config = config;
    this.outages = outages;
    this.violations = violations;
  }

  void audit(ExecutionLog log, List<HostNotice> notices) {
    Map<String, Map<String, TreeMap<Long, Boolean>>> closed = closedTimes(notices);
    for (ExecutionLog.Arrival arrival : log.arrivals) {
      auditArrival(
          closed, arrival.gateway, arrival.host, arrival.at, "invocation " + arrival.token);
    }
    for (ExecutionLog.LoadOrder order : log.orders) {
      if (order.copies() > 0) {
        auditArrival(
            closed,
            order.gateway(),
            order.host(),
            order.at(),
            "an order to load " + order.function());
      }
    }
  }

  /**
   * By gateway and host, when the host's state changed for the gateway, and whether it was closed
   * then.
   */
  private static Map<String, Map<String, TreeMap<Long, Boolean>>> closedTimes(
      List<HostNotice> notices) {
    Map<String, Map<String, TreeMap<Long, Boolean>>> closed = new HashMap<>();
    for (HostNotice notice : notices) {
      TreeMap<Long, Boolean> times =
          closed
              .computeIfAbsent(notice.gateway(), any -> new HashMap<>())
              .computeIfAbsent(notice.host(), any -> new TreeMap<>());
      // A repeated notice changes nothing: the grace runs from the first of a row.
      Map.Entry<Long, Boolean> before = times.lastEntry();
      if (before == null
          || before.getValue() != notice.closed()
          || notice.at().micros() < before.getKey()) {
        times.put(notice.at().micros(), notice.closed());
      }
    }
    return closed;
  }

  private void auditArrival(
      Map<String, Map<String, TreeMap<Long, Boolean>>> closed,
      String gateway,
      String host,
      Moment at,
      String what) {
    TreeMap<Long, Boolean> times = closed.getOrDefault(gateway, Map.of()).get(host);
    Map.Entry<Long, Boolean> last = times == null ? null : times.floorEntry(at.micros());
    if (last == null || !last.getValue()) {
      return;
    }
    // The grace runs from the first of several notices in a row that the host is closed.
    long closedSince = last.getKey();
    for (Map.Entry<Long, Boolean> each = last;
        each != null && each.getValue();
        each = times.lowerEntry(each.getKey())) {
      closedSince = each.getKey();
    }
    Span after = at.since(new Moment(closedSince));
    boolean late =
        after.isLongerThan(config.rules().drainGrace().plus(Violations.DELIVERY_TOLERANCE));
    if (late && !mayBeDelayed(gateway, host, at)) {
      violations.add(
          3,
          what
              + " reached "
              + host
              + " from "
              + gateway
              + " "
              + after.micros() / 1000
              + " ms after it was told that the host drains or is gone");
    }
  }

  /** Whether a cut link may have delayed what arrived then. */
  private boolean mayBeDelayed(String gateway, String host, Moment at) {
    return outages.stream()
        .anyMatch(
            each ->
                each.gateway().equals(gateway)
                    && each.host().equals(host)
                    && !at.isBefore(each.from())
                    && !at.isAfter(each.to().plus(RETRANSMISSION)));
  }
}
