package flintlead.platform.journal;

import flintlead.ids.NameHash;
import flintlead.scheduling.api.HostEntry;
import flintlead.time.Moment;
import flintlead.transport.loop.Address;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Applies the numbered events of the host list in order. A repeated event is ignored; after a gap,
 * nothing is applied until the missing events have arrived. Does no I/O. Used by one thread.
 */
public final class HostEventProcessor {

  private static final long MAX_UNIX_MILLIS = 1L << 52;

  /**
   * One host of the list.
   *
   * @param name name of the host in the journal
   * @param address where the host accepts connections
   * @param entry the host as the scheduler sees it
   * @param start when the host started
   */
  public record ListedHost(String name, Address address, HostEntry entry, StartTime start) {}

  /** Receives the hosts of each applied event. */
  public interface Listener {

    /** The complete list was received: a host that is not in it was removed. */
    void hostsReplaced(List<ListedHost> hosts);

    /** Hosts were added, changed or removed. */
    void hostsUpdated(List<ListedHost> hosts);

    /** An event had this many hosts that are not used, as the list is as long as it may be. */
    void hostsIgnored(int count, int maxHosts);
  }

  /** A host's start time, as given by the journal and as a moment of the gateway's clock. */
  public record StartTime(long unixMillis, Moment moment) {}

  private final List<String> zones;
  private final List<String> kinds;
  private final Function<Long, Moment> toMoment;
  private final int maxHosts;
  private final Listener listener;

  /**
   * The start time of each listed host. Converted only once: the system clock may be set, and a
   * repeated start time must not become a later moment.
   */
  private final Map<Long, StartTime> starts = new HashMap<>();

  private long lastPosition;

  /**
   * Creates a processor that has applied no event.
   *
   * @param zones names of the zones, in the order of their numbers
   * @param kinds names of the kinds of hosts, in the order of their numbers
   * @param maxHosts hosts that may be listed at once; further ones are ignored
   * @param toMoment converts Unix milliseconds to a moment of the gateway's clock
   */
  public HostEventProcessor(
      List<String> zones,
      List<String> kinds,
      Function<Long, Moment> toMoment,
      int maxHosts,
      Listener listener) {
    this.maxHosts = maxHosts;
    this.zones = zones;
    this.kinds = kinds;
    this.toMoment = toMoment;
    this.listener = listener;
  }

  /** The position of the last applied event; 0 before the first. */
  public long lastPosition() {
    return lastPosition;
  }

  /**
   * Applies the event if it is the next one; ignores it if it was applied before.
   *
   * @param event the event as JSON maps and lists
   * @return false if events before it are missing
   * @throws IllegalArgumentException if the event is malformed; no part of it is applied then
   */
  public boolean apply(Object event) {
    Map<?, ?> members = map(event, "event");
    long position = number(members.get("pos"), "pos");
    if (position <= lastPosition) {
      return true;
    }
    Map<?, ?> hosts = map(members.get("hosts"), "hosts");
    boolean snapshot = Boolean.TRUE.equals(hosts.get("snapshot"));
    if (isGap(position, snapshot)) {
      return false;
    }
    List<ListedHost> received = endpoints(hosts);
    List<ListedHost> listed = withinLimit(received, snapshot);
    lastPosition = position;
    listed.forEach(host -> starts.put(host.entry().host(), host.start()));
    if (snapshot) {
      starts.keySet().retainAll(idsOf(listed));
      listener.hostsReplaced(listed);
    } else {
      listener.hostsUpdated(listed);
    }
    listed.stream()
        .filter(host -> host.entry().state() == HostEntry.State.GONE)
        .forEach(host -> starts.remove(host.entry().host()));
    if (listed.size() < received.size()) {
      listener.hostsIgnored(received.size() - listed.size(), maxHosts);
    }
    return true;
  }

  private static Set<Long> idsOf(List<ListedHost> hosts) {
    return hosts.stream().map(host -> host.entry().host()).collect(Collectors.toSet());
  }

  /**
   * Returns the hosts that the list has room for. Of a whole list these are the ones with the
   * lowest ids, so that all gateways with the same limit use the same hosts.
   */
  private List<ListedHost> withinLimit(List<ListedHost> received, boolean snapshot) {
    int listedBefore = snapshot ? 0 : starts.size();
    if (listedBefore + received.size() <= maxHosts) {
      return received;
    }
    if (snapshot) {
      return received.stream()
          .sorted(Comparator.comparingLong(host -> host.entry().host()))
          .limit(maxHosts)
          .toList();
    }
    Set<Long> ids = new HashSet<>(starts.keySet());
    List<ListedHost> listed = new ArrayList<>();
    for (ListedHost host : received) {
      long id = host.entry().host();
      if (ids.contains(id) || ids.size() < maxHosts) {
        ids.add(id);
        listed.add(host);
      }
    }
    return listed;
  }

  /**
   * Whether events before this position are missing. The first event may be a snapshot at any
   * position.
   */
  private boolean isGap(long position, boolean snapshot) {
    boolean first = snapshot && lastPosition == 0;
    return position > lastPosition + 1 && !first;
  }

  private List<ListedHost> endpoints(Map<?, ?> hosts) {
    if (!(hosts.get("endpoints") instanceof List<?> endpoints)) {
      throw new IllegalArgumentException("hosts.endpoints is missing or not a list");
    }
    List<ListedHost> listed = new ArrayList<>();
    for (Object endpoint : endpoints) {
      listed.add(endpoint(map(endpoint, "endpoint")));
    }
    return listed;
  }

  private ListedHost endpoint(Map<?, ?> endpoint) {
    String name = text(endpoint, "name");
    HostEntry.State state =
        switch (text(endpoint, "status")) {
          case "active" -> HostEntry.State.READY;
          case "leaving" -> HostEntry.State.DRAINING;
          case "left" -> HostEntry.State.GONE;
          default ->
              throw new IllegalArgumentException(
                  "endpoint " + name + ": status is not active, leaving or left");
        };
    long host = NameHash.host(name);
    StartTime start = startTime(host, name, endpoint.get("since_ms"));
    double weight = endpoint.get("weight") instanceof Number n ? n.doubleValue() : 1;
    int group = (int) (endpoint.get("group") instanceof Number n ? n.longValue() : 0);
    HostEntry entry =
        new HostEntry(
            host,
            indexOf(zones, endpoint.get("zone")),
            group,
            indexOf(kinds, endpoint.get("type")),
            state,
            start.moment,
            weight);
    return new ListedHost(name, Address.parseTcp(text(endpoint, "address")), entry, start);
  }

  private StartTime startTime(long host, String name, Object value) {
    long since = value == null ? 0 : number(value, "since_ms");
    if (since < 0 || since > MAX_UNIX_MILLIS) {
      throw new IllegalArgumentException(
          "endpoint " + name + ": since_ms is negative or above 2^52");
    }
    StartTime start = starts.get(host);
    if (start == null || start.unixMillis != since) {
      start = new StartTime(since, toStartMoment(since));
    }
    return start;
  }

  /**
   * Converts a start time. Moment 0 is reserved for hosts without a start time, which count as
   * started in the distant past; any other host gets a later moment.
   */
  private Moment toStartMoment(long unixMillis) {
    return unixMillis == 0
        ? new Moment(0)
        : Moment.later(new Moment(1), toMoment.apply(unixMillis));
  }

  /** The number of the name; a missing or unknown name counts as the first one. */
  private static int indexOf(List<String> names, Object name) {
    return name instanceof String text ? Math.max(0, names.indexOf(text)) : 0;
  }

  private static Map<?, ?> map(Object value, String description) {
    if (value instanceof Map<?, ?> map) {
      return map;
    }
    throw new IllegalArgumentException(description + " is missing or not an object");
  }

  private static String text(Map<?, ?> members, String key) {
    if (members.get(key) instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw new IllegalArgumentException(key + " is missing, empty or not a string");
  }

  private static long number(Object value, String key) {
    if (value instanceof Integer || value instanceof Long) {
      return ((Number) value).longValue();
    }
    throw new IllegalArgumentException(key + " is missing or not an integer");
  }
}
