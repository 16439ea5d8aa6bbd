package flintlead.discovery.registry;

import flintlead.discovery.endpoint.EndpointRecord;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Converts start times of hosts from the wall clock to the gateway's own clock. The same start
 * always gives the same moment: one that changed a little with each list would look like another
 * start.
 */
final class StartTimes {

  /** A start longer ago than this is the distant past: no slow start lasts so long. */
  private static final long DISTANT_PAST_MS = 3_600_000;

  private static final Moment DISTANT_PAST = new Moment(0);

  /** A host's process, by its host and its start. */
  private record Start(String host, long epochMs) {}

  private final Map<Start, Moment> moments = new HashMap<>();
  private final Set<Start> inList = new HashSet<>();

  /**
   * Returns when the host's process started, by the gateway's clock.
   *
   * @param nowEpochMs the wall clock's time now, in milliseconds
   * @param now the same moment by the gateway's clock
   */
  Moment of(EndpointRecord host, long nowEpochMs, Moment now) {
    long ageMs = nowEpochMs - host.startedEpochMs();
    if (host.startedEpochMs() <= 0 || ageMs > DISTANT_PAST_MS) {
      return DISTANT_PAST;
    }
    Start start = new Start(host.name(), host.startedEpochMs());
    inList.add(start);
    return moments.computeIfAbsent(start, any -> now.minus(Span.ofMillis(Math.max(0, ageMs))));
  }

  /** Ends a list: forgets starts that were not asked for since the last call. */
  void endList() {
    moments.keySet().retainAll(inList);
    inList.clear();
  }
}
