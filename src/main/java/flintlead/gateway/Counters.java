package flintlead.gateway;

import flintlead.routing.guard.InvariantMonitor;
import flintlead.routing.pending.PendingResponses;
import flintlead.scheduling.api.Outcome;
import java.util.EnumMap;
import java.util.Map;

/** What a gateway has counted since it started. Used on its event loop only. */
final class Counters {

  private long succeeded;
  private long throttled;
  private long errored;

  /** Throttled without being accepted. */
  long rejected;

  /** Invocations whose client left before the response. */
  long clientDisconnects;

  /** Attempts started. */
  long attempts;

  /** Load orders sent to hosts. */
  long loadOrders;

  private final long[] outcomes = new long[Outcome.values().length];

  /** Counts a final response of an accepted invocation. */
  void count(InvocationResponse response) {
    switch (response.status()) {
      case SUCCEEDED -> succeeded++;
      case THROTTLED -> throttled++;
      default -> errored++;
    }
  }

  /** Counts the end of an attempt. */
  void attemptEnded(Outcome outcome) {
    outcomes[outcome.ordinal()]++;
  }

  /** The counters at this moment, with those of the pending responses and of the invariants. */
  CountersSnapshot snapshot(
      PendingResponses<InvocationResponse> responses, InvariantMonitor invariants, int unfinished) {
    Map<Outcome, Long> byOutcome = new EnumMap<>(Outcome.class);
    for (Outcome outcome : Outcome.values()) {
      byOutcome.put(outcome, outcomes[outcome.ordinal()]);
    }
    return new CountersSnapshot(
        responses.registered(),
        succeeded,
        throttled,
        errored,
        rejected,
        clientDisconnects,
        responses.duplicateResponses(),
        responses.expiredCount(),
        invariants.total(),
        attempts,
        loadOrders,
        responses.size(),
        unfinished,
        byOutcome);
  }
}
