package flintlead.routing.pool;

import java.util.List;

/**
 * Selects the hosts of a pool by name, zone and kind, all of which must match. An empty list
 * matches every host.
 *
 * @param hosts patterns of host names
 * @param zones numbers of zones
 * @param kinds numbers of host kinds
 */
public record Selector(List<NamePattern> hosts, List<Integer> zones, List<Integer> kinds) {

  /** Selects all hosts. */
  public static final Selector ALL = new Selector(List.of(), List.of(), List.of());

  public Selector {
    hosts = List.copyOf(hosts);
    zones = List.copyOf(zones);
    kinds = List.copyOf(kinds);
  }

  /** Whether a host of that name, zone and kind is selected. */
  public boolean matches(String host, int zone, int kind) {
    return (hosts.isEmpty() || hosts.stream().anyMatch(pattern -> pattern.matches(host)))
        && (zones.isEmpty() || zones.contains(zone))
        && (kinds.isEmpty() || kinds.contains(kind));
  }
}
