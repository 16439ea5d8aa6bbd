package flintlead.configuration.transaction;

import flintlead.configuration.transaction.ConfigurationVersion.HostDefinition;
import flintlead.routing.pool.Layout;
import flintlead.routing.pool.Pool;
import flintlead.routing.pool.Route;
import java.util.ArrayList;
import java.util.List;

/**
 * What differs between two versions, by meaning: the order of hosts does not count, that of routes
 * does.
 *
 * @param added names of hosts that are new
 * @param removed names of hosts that are gone
 * @param drained names of hosts that drain from now on
 * @param restored names of hosts that no longer drain
 * @param moved names of hosts with other addresses
 * @param modified names of hosts with another zone, cell, kind or weight
 * @param pools a line for each pool that is new ("+"), gone ("-") or different ("~")
 * @param routes a line for each route that is new ("+") or gone ("-")
 */
public record VersionDifference(
    List<String> added,
    List<String> removed,
    List<String> drained,
    List<String> restored,
    List<String> moved,
    List<String> modified,
    List<String> pools,
    List<String> routes) {

  /** Returns what differs between two versions. */
  public static VersionDifference of(ConfigurationVersion from, ConfigurationVersion to) {
    List<String> added = new ArrayList<>();
    List<String> drained = new ArrayList<>();
    List<String> restored = new ArrayList<>();
    List<String> moved = new ArrayList<>();
    List<String> modified = new ArrayList<>();
    for (HostDefinition host : to.hosts().values()) {
      HostDefinition before = from.hosts().get(host.name());
      if (before == null) {
        added.add(host.name());
        continue;
      }
      if (host.draining() != before.draining()) {
        (host.draining() ? drained : restored).add(host.name());
      }
      if (!host.addresses().equals(before.addresses())) {
        moved.add(host.name());
      }
      if (isModified(before, host)) {
        modified.add(host.name());
      }
    }
    List<String> removed =
        from.hosts().keySet().stream().filter(name -> !to.hosts().containsKey(name)).toList();
    return new VersionDifference(
        added,
        removed,
        drained,
        restored,
        moved,
        modified,
        pools(from.layout(), to.layout()),
        routes(from.layout().routes(), to.layout().routes()));
  }

  private static boolean isModified(HostDefinition before, HostDefinition now) {
    return now.zone() != before.zone()
        || now.cell() != before.cell()
        || now.kind() != before.kind()
        || now.weight() != before.weight();
  }

  private static List<String> pools(Layout from, Layout to) {
    List<String> pools = new ArrayList<>();
    for (Pool pool : to.pools()) {
      Pool before = from.pool(pool.name());
      if (before == null) {
        pools.add("+ " + pool.name());
      } else if (!before.equals(pool)) {
        pools.add(
            "~ "
                + pool.name()
                + (before.selector().equals(pool.selector()) ? "" : ": other hosts"));
      }
    }
    from.pools().stream()
        .filter(pool -> to.pool(pool.name()) == null)
        .forEach(pool -> pools.add("- " + pool.name()));
    return pools;
  }

  /**
   * Routes that both versions have in the same order are not named: the order is part of their
   * meaning.
   */
  private static List<String> routes(List<Route> from, List<Route> to) {
    List<String> routes = new ArrayList<>();
    List<Route> rest = new ArrayList<>(from);
    for (Route route : to) {
      int at = rest.indexOf(route);
      if (at < 0) {
        routes.add("+ " + route.describe());
      } else {
        rest.subList(0, at).forEach(each -> routes.add("- " + each.describe()));
        rest.subList(0, at + 1).clear();
      }
    }
    rest.forEach(each -> routes.add("- " + each.describe()));
    return routes;
  }

  /** Returns whether nothing differs. */
  public boolean isNone() {
    return added.isEmpty()
        && removed.isEmpty()
        && drained.isEmpty()
        && restored.isEmpty()
        && moved.isEmpty()
        && modified.isEmpty()
        && pools.isEmpty()
        && routes.isEmpty();
  }
}
