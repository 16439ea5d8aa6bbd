package flintlead.gateway;

import flintlead.gateway.upstream.HostSpec;
import flintlead.scheduling.api.HostEntry;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What the scheduler was last told of each host: the list's line, moved on by what the host itself
 * has announced, since a list may lag behind the host.
 */
final class HostStates {

  /** A greeting's start this little after the known one is the same start, reckoned anew. */
  private static final Span START_TOLERANCE = Span.ofMillis(1000);

  private final Span slowStartDuration;
  private final Map<Long, HostEntry> entries = new HashMap<>();
  private final Map<Long, String> processStarts = new HashMap<>();

  /** Hosts that announced themselves that they drain. */
  private final Set<Long> announcedDraining = new HashSet<>();

  /** Starts without hosts; a process younger than the duration is new when it is first met. */
  HostStates(Span slowStartDuration) {
    this.slowStartDuration = slowStartDuration;
  }

  /** The host's entry; null if it is not in the list. */
  HostEntry find(long host) {
    return entries.get(host);
  }

  /** The host belongs to these pools now; returns its entry if that changed it. */
  Optional<HostEntry> updatePools(long host, long pools) {
    HostEntry entry = entries.get(host);
    if (entry.pools() == pools) {
      return Optional.empty();
    }
    HostEntry moved =
        new HostEntry(
            host,
            entry.zone(),
            entry.cell(),
            entry.kind(),
            entry.state(),
            entry.startedAt(),
            entry.weight(),
            pools);
    entries.put(host, moved);
    return Optional.of(moved);
  }

  /** Takes a new or changed line of the list; returns the host's new entry. */
  HostEntry update(long host, HostSpec spec, long pools) {
    HostEntry before = entries.get(host);
    Moment started = spec.startedAt();
    if (before != null && before.startedAt().isAfter(started)) {
      // The host itself told of a start that the list has not learned of yet.
      started = before.startedAt();
    }
    boolean restarted = before != null && started.isAfter(before.startedAt());
    if (spec.state() != HostEntry.State.READY || restarted) {
      announcedDraining.remove(host);
    }
    HostEntry.State state =
        announcedDraining.contains(host) ? HostEntry.State.DRAINING : spec.state();
    HostEntry entry =
        new HostEntry(
            host, spec.zone(), spec.cell(), spec.kind(), state, started, spec.weight(), pools);
    entries.put(host, entry);
    return entry;
  }

  /** The host has left the list. */
  void remove(long host) {
    entries.remove(host);
    processStarts.remove(host);
    announcedDraining.remove(host);
  }

  /**
   * The host has greeted.
   *
   * @param listedState the list's state, which counts again for a host that drained and restarted
   * @param startedAt when its process started, by its own word
   * @return its new entry if it has restarted
   */
  Optional<HostEntry> greeted(
      long host, String processStart, HostEntry.State listedState, Moment startedAt, Moment now) {
    String before = processStarts.put(host, processStart);
    HostEntry entry = entries.get(host);
    boolean young = now.since(startedAt).isShorterThan(slowStartDuration);
    boolean newProcess = before == null ? young : !before.equals(processStart);
    if (!newProcess || !startedAt.isAfter(entry.startedAt().plus(START_TOLERANCE))) {
      return Optional.empty();
    }
    boolean drained = announcedDraining.remove(host);
    HostEntry restarted =
        entry.withStartedAt(startedAt).withState(drained ? listedState : entry.state());
    entries.put(host, restarted);
    return Optional.of(restarted);
  }

  /** The host announced that it drains; returns its new entry if it was ready before. */
  Optional<HostEntry> announcedDraining(long host) {
    HostEntry entry = entries.get(host);
    if (entry.state() != HostEntry.State.READY) {
      return Optional.empty();
    }
    announcedDraining.add(host);
    HostEntry draining = entry.withState(HostEntry.State.DRAINING);
    entries.put(host, draining);
    return Optional.of(draining);
  }
}
