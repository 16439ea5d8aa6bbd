package flintlead.platform.upstream;

import flintlead.scheduling.api.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Requests that were in flight on a connection that broke. Their outcome depends on whether the
 * host is still alive, which is not known yet.
 */
final class UnsettledRequests {

  private final List<Request> requests = new ArrayList<>();
  private final BiConsumer<Request, Outcome> onOutcome;

  /**
   * Creates an empty set.
   *
   * @param onOutcome called with each request and its outcome, once the outcome is known
   */
  UnsettledRequests(BiConsumer<Request, Outcome> onOutcome) {
    this.onOutcome = onOutcome;
  }

  void addAll(List<Request> unanswered) {
    unanswered.forEach(Request::unsettled);
    requests.addAll(unanswered);
  }

  /** Removes a request that its owner has withdrawn. */
  void remove(Request request) {
    requests.remove(request);
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  /**
   * The host is alive and only connections broke: ends all requests with {@link
   * Outcome#CONNECTION_LOST}. They may have run.
   */
  void hostIsAlive() {
    if (!requests.isEmpty()) {
      List<Request> lost = List.copyOf(requests);
      requests.clear();
      lost.forEach(request -> onOutcome.accept(request, Outcome.CONNECTION_LOST));
    }
  }

  /** The host counts as dead: ends all requests with {@link Outcome#RESET}. */
  void hostIsDead() {
    hostIsDead(List.copyOf(requests));
  }

  /**
   * The host counts as dead for these requests: ends those that are still unsettled with {@link
   * Outcome#RESET}.
   */
  void hostIsDead(List<Request> affected) {
    for (Request request : affected) {
      if (requests.remove(request)) {
        onOutcome.accept(request, Outcome.RESET);
      }
    }
  }
}
