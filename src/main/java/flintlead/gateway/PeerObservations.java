package flintlead.gateway;

import flintlead.scheduling.api.SchedulingPolicy;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * Instances that other gateways observed before this one had a list of hosts. The scheduler would
 * know none of the hosts they are at, so they are kept until the first list.
 */
final class PeerObservations {

  private static final int MAX_EARLY = 50_000;

  private record Observation(long host, long function, int instances, Moment observedAt) {}

  private final EventTimers timers;
  private final List<Observation> early = new ArrayList<>();

  PeerObservations(EventTimers timers) {
    this.timers = timers;
  }

  /** Keeps an observation of that age; dropped if there are {@value #MAX_EARLY} already. */
  void keep(long host, long function, int instances, Span age) {
    if (early.size() < MAX_EARLY) {
      early.add(new Observation(host, function, instances, timers.now().minus(age)));
    }
  }

  /** Hands the scheduler all that were kept, with their ages by now. */
  void deliverEarly(SchedulingPolicy scheduler) {
    if (early.isEmpty()) {
      return;
    }
    List<Observation> kept = List.copyOf(early);
    early.clear();
    kept.forEach(
        each ->
            scheduler.mergeObservation(
                each.host, each.function, each.instances, timers.now().since(each.observedAt)));
  }
}
