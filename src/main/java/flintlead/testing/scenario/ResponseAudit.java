package flintlead.testing.scenario;

import flintlead.client.ClientResponse;
import flintlead.gateway.GatewayConfig;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.List;

/** Audits rule 1: each attempt gets one response, in the client's time. */
final class ResponseAudit {

  /** What was sent so shortly before a gateway stalled may not have been read by it. */
  private static final Span IN_TRANSIT = Span.ofMillis(5);

  private final GatewayConfig config;
  private final List<Auditor.GatewayStall> stalls;
  private final Violations violations;

  ResponseAudit(GatewayConfig config, List<Auditor.GatewayStall> stalls, Violations violations) {
    this.config = config;
    this.stalls = stalls;
    this.violations = violations;
  }

  void audit(List<ClientAttempt> attempts) {
    for (ClientAttempt attempt : attempts) {
      long responses =
          attempt.responses.stream()
              .filter(response -> response.kind() != ClientResponse.Status.LOST)
              .count();
      if (responses > 1) {
        violations.add(1, attempt.token + " got " + responses + " answers: " + attempt.responses);
      }
      if (attempt.exempt) {
        continue;
      }
      if (responses == 0) {
        violations.add(
            1,
            attempt.token
                + " ("
                + attempt.triggerType
                + " at "
                + attempt.gateway
                + ") got no answer");
        continue;
      }
      Span late = attempt.responses.get(0).at().since(responseDue(attempt));
      if (late.isLongerThan(Violations.DELIVERY_TOLERANCE)) {
        violations.add(1, attempt.token + " was answered " + late.micros() / 1000 + " ms late");
      }
    }
  }

  private Moment responseDue(ClientAttempt attempt) {
    Span slack = config.rules().answerSlack();
    Moment due = attempt.sentAt.plus(attempt.timeout).plus(slack);
    for (Auditor.GatewayStall stall : stalls) {
      boolean meets =
          stall.gateway().equals(attempt.gateway)
              && !due.isBefore(stall.from())
              && attempt.sentAt.isBefore(stall.to());
      // What was sent during the stall lay unread, and its timeout runs from the reading.
      boolean readBefore = attempt.sentAt.plus(IN_TRANSIT).isBefore(stall.from());
      Moment afterStall = readBefore ? stall.to() : stall.to().plus(attempt.timeout);
      due = meets ? Moment.later(due, afterStall.plus(slack)) : due;
    }
    return due;
  }
}
