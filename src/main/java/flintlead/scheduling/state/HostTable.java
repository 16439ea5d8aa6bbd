package flintlead.scheduling.state;

import flintlead.scheduling.api.HostEntry;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The hosts known to a gateway: the listed ones, and departed ones, which are removed once there
 * are more than the maximum. Departed hosts that are still in use are kept.
 */
public final class HostTable {

  private final int maxDeparted;
  private final TreeMap<Long, Host> hosts = new TreeMap<>();

  /**
   * Listed hosts that are not gone, sorted by id. The array is replaced on an update, never
   * modified.
   */
  private Host[] listed = new Host[0];

  /** Number of listed hosts that were ejected and have not succeeded since. */
  private int ejected;

  HostTable(int maxDeparted) {
    this.maxDeparted = maxDeparted;
  }

  /** Returns the host with that id, listed or not, or null if it is unknown. */
  public Host find(long id) {
    return hosts.get(id);
  }

  /** Returns the listed hosts, sorted by id. The array must not be modified. */
  public Host[] listed() {
    return listed;
  }

  /** Returns the number of listed hosts that were ejected and have not succeeded since. */
  public int ejectedCount() {
    return ejected;
  }

  /** Marks all hosts as not listed. Must be followed by {@link #update}. */
  public void unlistAll() {
    for (Host host : hosts.values()) {
      host.listed = false;
    }
  }

  /**
   * Adds new hosts and updates known ones.
   *
   * @param started called with each new host, and with each host whose process has restarted,
   *     before its entry is replaced
   * @param inUse returns true for a departed host that must be kept
   */
  public void update(List<HostEntry> entries, Consumer<Host> started, Predicate<Host> inUse) {
    for (HostEntry entry : entries) {
      update(entry, started);
    }
    if (hosts.size() > listed.length + maxDeparted) {
      hosts.values().removeIf(host -> removeIfUnused(host, inUse));
    }
    listed = hosts.values().stream().filter(host -> host.listed).toArray(Host[]::new);
    ejected = (int) Arrays.stream(listed).filter(host -> host.consecutiveEjections > 0).count();
  }

  private void update(HostEntry entry, Consumer<Host> started) {
    Host host = hosts.get(entry.host());
    if (host == null) {
      host = new Host(entry);
      hosts.put(entry.host(), host);
      started.accept(host);
    } else if (entry.startedAt().isAfter(host.entry.startedAt())) {
      host.forgetEstimates();
      started.accept(host);
    }
    host.entry = entry;
    host.listed = entry.state() != HostEntry.State.GONE;
  }

  private static boolean removeIfUnused(Host host, Predicate<Host> inUse) {
    boolean idle = !host.listed && host.inFlight == 0 && !inUse.test(host);
    if (idle) {
      host.forgetEstimates();
    }
    return idle;
  }

  /** Counts one more consecutive ejection of the host. */
  public void countEjection(Host host) {
    if (host.consecutiveEjections++ == 0 && host.listed) {
      ejected++;
    }
  }

  /** Resets the host's consecutive ejections to zero. */
  public void clearEjections(Host host) {
    if (host.consecutiveEjections > 0 && host.listed) {
      ejected--;
    }
    host.consecutiveEjections = 0;
  }
}
