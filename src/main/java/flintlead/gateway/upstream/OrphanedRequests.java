package flintlead.gateway.upstream;

import flintlead.scheduling.api.Outcome;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests whose connection broke, held while the host's other addresses are checked for a sign of
 * life. The check distinguishes a dead host, which is reported to the scheduler, from a failed
 * network path to a live one.
 */
final class OrphanedRequests {

  private final Map<Exchange, String> reasons = new LinkedHashMap<>();
  private long connectionLostCount;

  boolean isEmpty() {
    return reasons.isEmpty();
  }

  /** Holds the requests until the check is decided, with the reason why their connection broke. */
  void add(List<Exchange> requests, String reason) {
    requests.forEach(request -> reasons.put(request, reason));
  }

  void remove(Exchange request) {
    reasons.remove(request);
  }

  List<Exchange> snapshot() {
    return new ArrayList<>(reasons.keySet());
  }

  /**
   * The host gave a sign of life: ends the requests, idempotent ones with an outcome that allows a
   * retry.
   */
  void hostAlive(List<Exchange> requests) {
    for (Exchange request : requests) {
      String reason = reasons.remove(request);
      if (reason == null) {
        continue;
      }
      if (request.isIdempotent()) {
        connectionLost(request, reason);
      } else {
        // CANCELLED instead of RESET: the loss must not count against a live host.
        request.end(ExchangeResult.unanswered(Outcome.CANCELLED, reason));
      }
    }
  }

  /** The host gave no sign of life in time: ends the requests as for a dead host. */
  void hostSilent(List<Exchange> requests) {
    for (Exchange request : requests) {
      String reason = reasons.remove(request);
      if (reason != null) {
        request.end(ExchangeResult.unanswered(Outcome.RESET, reason));
      }
    }
  }

  /** Ends an idempotent request whose connection was lost while its host lived. */
  void connectionLost(Exchange request, String reason) {
    connectionLostCount++;
    request.end(ExchangeResult.unanswered(Outcome.CONNECTION_LOST, reason));
  }

  /** Number of idempotent requests whose connection was lost while the host lived. */
  long connectionLostCount() {
    return connectionLostCount;
  }
}
