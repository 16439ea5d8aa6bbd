package flintlead.platform.journal;

import flintlead.ids.NameHash;
import flintlead.scheduling.api.HostEntry;
import flintlead.time.Moment;
import flintlead.transport.loop.Address;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

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
   */
  public record ListedHost(String name, Address address, HostEntry entry) {}

  /** Receives the hosts of each applied event. */
  public interface Listener {

    /** The complete list was received: a host that is not in it was removed. */
    void hostsReplaced(List<ListedHost> hosts);

    /** Hosts were added, changed or removed. */
    void hostsUpdated(List<ListedHost> hosts);
  }

  /** A host's start time, as given by the journal and as a moment of the gateway's clock. */
  private record StartTime(long unixMillis, Moment moment) {}

  private final List<String> zones;
  private final List<String> kinds;
  private final Function<Long, Moment> toMoment;
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
   * @param toMoment converts Unix milliseconds to a moment of the gateway's clock
   */
  public HostEventProcessor(
      List<String> zones, List<String> kinds, Function<Long, Moment> toMoment, Listener listener) {
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
    List<ListedHost> listed = endpoints(hosts);
    lastPosition = position;
    if (snapshot) {
      starts.keySet().retainAll(listed.stream().map(host -> host.entry().host()).toList());
      listener.hostsReplaced(listed);
    } else {
      listener.hostsUpdated(listed);
    }
    listed.stream()
        .filter(host -> host.entry().state() == HostEntry.State.GONE)
        .forEach(host -> starts.remove(host.entry().host()));
    return true;
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
    Moment startedAt = startedAt(host, name, endpoint.get("since_ms"));
    double weight = endpoint.get("weight") instanceof Number n ? n.doubleValue() : 1;
    int group = (int) (endpoint.get("group") instanceof Number n ? n.longValue() : 0);
    HostEntry entry =
        new HostEntry(
            host,
            indexOf(zones, endpoint.get("zone")),
            group,
            indexOf(kinds, endpoint.get("type")),
            state,
            startedAt,
            weight);
    return new ListedHost(name, Address.parseTcp(text(endpoint, "address")), entry);
  }

  private Moment startedAt(long host, String name, Object value) {
    long since = value == null ? 0 : number(value, "since_ms");
    if (since < 0 || since > MAX_UNIX_MILLIS) {
      throw new IllegalArgumentException(
          "endpoint " + name + ": since_ms is negative or above 2^52");
    }
    StartTime start = starts.get(host);
    if (start == null || start.unixMillis != since) {
      start = new StartTime(since, toStartMoment(since));
      starts.put(host, start);
    }
    return start.moment;
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
