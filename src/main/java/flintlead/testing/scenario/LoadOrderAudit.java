package flintlead.testing.scenario;

import flintlead.gateway.GatewayConfig;
import flintlead.testing.emulator.ExecutionLog;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Audits rule 5: load orders stay within a free number plus a share of the invocations taken in the
 * window.
 */
final class LoadOrderAudit {

  private final GatewayConfig config;
  private final Violations violations;

  LoadOrderAudit(GatewayConfig config, Violations violations) {
    this.config = config;
    this.violations = violations;
  }

  void audit(ExecutionLog log, List<ClientAttempt> attempts) {
    Span window = config.rules().loadOrderWindow();
    if (window.micros() <= 0) {
      return;
    }
    Map<String, List<Moment>> orders = new HashMap<>();
    for (ExecutionLog.LoadOrder order : log.orders) {
      if (order.copies() > 0) {
        orders.computeIfAbsent(order.gateway(), any -> new ArrayList<>()).add(order.at());
      }
    }
    orders.forEach(
        (gateway, times) -> times.forEach(at -> auditWindow(gateway, times, at, window, attempts)));
  }

  private void auditWindow(
      String gateway, List<Moment> orders, Moment end, Span window, List<ClientAttempt> attempts) {
    Moment begin = end.minus(window);
    long ordered =
        orders.stream().filter(each -> !each.isAfter(end) && !each.isBefore(begin)).count();
    // What was in transit when the window began counts for the gateway, not against it.
    Moment sentFrom = begin.minus(Violations.DELIVERY_TOLERANCE);
    long taken =
        attempts.stream()
            .filter(
                each ->
                    each.gateway.equals(gateway)
                        && !each.sentAt.isBefore(sentFrom)
                        && !each.sentAt.isAfter(end))
            .count();
    if (ordered > config.rules().loadOrderBurst() + config.rules().loadOrderShare() * taken) {
      violations.add(
          5,
          gateway
              + " ordered "
              + ordered
              + " loads within its window for "
              + taken
              + " invocations taken");
    }
  }
}
