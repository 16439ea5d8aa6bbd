package flintlead.routing.pool;

import flintlead.routing.pool.Layout.HostDescriptor;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Finds faults in a layout. Each fault is one sentence that names the pool or route and, after a
 * semicolon, how to correct it.
 */
final class LayoutValidator {

  private static final double MAX_WEIGHT = 1e9;

  private final Layout layout;
  private final List<String> faults = new ArrayList<>();

  LayoutValidator(Layout layout) {
    this.layout = layout;
  }

  /** Returns the faults that do not depend on the hosts. */
  List<String> faults() {
    checkSizes();
    layout.pools().forEach(this::checkPool);
    List<Route> routes = layout.routes();
    for (int index = 0; index < routes.size(); index++) {
      checkRoute(index);
    }
    if (routes.isEmpty() || !routes.get(routes.size() - 1).matchesAll()) {
      faults.add(
          "what meets no route has no pool; end the routes with one that has a pool and asks for"
              + " nothing");
    }
    return faults;
  }

  private void checkSizes() {
    int pools = layout.pools().size();
    if (pools < 1 || pools > Layout.MAX_POOLS) {
      faults.add(pools + " pools; there may be 1 to " + Layout.MAX_POOLS);
    }
    if (layout.routes().size() > Layout.MAX_ROUTES) {
      faults.add(layout.routes().size() + " routes; at most " + Layout.MAX_ROUTES + " are taken");
    }
  }

  private void checkPool(Pool pool) {
    String name = pool.name();
    if (name.isEmpty()
        || name.chars().anyMatch(c -> Character.isISOControl(c) || Character.isWhitespace(c))) {
      faults.add("pool '" + name + "' has no name that can be written; make it one without spaces");
    }
    for (String other : pool.spillTo()) {
      if (!exists(other)) {
        faults.add("pool '" + name + "' spills to " + missing(other));
      } else if (other.equals(name)) {
        faults.add("pool '" + name + "' spills to itself; leave that out");
      }
    }
  }

  private boolean exists(String pool) {
    return layout.pool(pool) != null;
  }

  private String missing(String pool) {
    return "'" + pool + "', which there is not; name one of " + layout.poolNames();
  }

  private void checkRoute(int index) {
    Route route = layout.routes().get(index);
    String name = routeName(index);
    for (Route.Target target : route.targets()) {
      checkTarget(name, target);
    }
    if (!(route.targets().stream().mapToDouble(Route.Target::weight).sum() > 0)) {
      faults.add(name + " leads nowhere; give it a pool, or shares above 0");
    }
    for (Route.Condition condition : route.conditions()) {
      if (!exists(condition.pool())) {
        faults.add(name + " looks at " + missing(condition.pool()));
      }
    }
    checkReachable(index);
  }

  private static String routeName(int index) {
    return "route " + (index + 1);
  }

  private void checkTarget(String route, Route.Target target) {
    if (!exists(target.pool())) {
      faults.add(route + " leads to " + missing(target.pool()));
    }
    if (!(target.weight() >= 0) || target.weight() > MAX_WEIGHT) {
      faults.add(
          route
              + ": share "
              + target.weight()
              + " of '"
              + target.pool()
              + "' should lie from 0 to 1e9");
    }
  }

  private void checkReachable(int index) {
    for (int earlier = 0; earlier < index; earlier++) {
      if (layout.routes().get(earlier).covers(layout.routes().get(index))) {
        faults.add(
            routeName(index)
                + " is never reached, as "
                + routeName(earlier)
                + " meets all that it meets; put it before that one, or leave it out");
        return;
      }
    }
  }

  /**
   * Returns the faults of the layout with these hosts: used pools without enough ready hosts, and
   * patterns that match no host.
   */
  List<String> faultsWith(Collection<HostDescriptor> hosts) {
    Set<String> used = layout.usedPools();
    for (Pool pool : layout.pools()) {
      if (used.contains(pool.name())) {
        checkReadyHosts(pool, Layout.countReadyHosts(pool, hosts));
      }
      for (NamePattern pattern : pool.selector().hosts()) {
        if (hosts.stream().noneMatch(host -> pattern.matches(host.name()))) {
          faults.add(
              "pool '"
                  + pool.name()
                  + "' asks for host '"
                  + pattern
                  + "', which there is not; mend its name, or leave it out");
        }
      }
    }
    return faults;
  }

  private void checkReadyHosts(Pool pool, long ready) {
    if (ready == 0) {
      faults.add(
          "pool '"
              + pool.name()
              + "' is led to and has no ready host; give it one, or lead its routes elsewhere");
    } else if (ready < pool.minReadyHosts()) {
      faults.add(
          "pool '"
              + pool.name()
              + "' has "
              + ready
              + " ready hosts and is not used below "
              + pool.minReadyHosts()
              + "; give it more, or make its least smaller");
    }
  }

  /**
   * Returns a fault for each route with trigger types or customers that are not among the known
   * ones.
   */
  List<String> unknownNames(Set<String> knownTriggerTypes, Set<String> knownCustomers) {
    for (int index = 0; index < layout.routes().size(); index++) {
      Route route = layout.routes().get(index);
      Set<String> triggerTypes = new HashSet<>(route.triggerTypes());
      triggerTypes.removeAll(knownTriggerTypes);
      Set<String> customers = new HashSet<>(route.customers());
      customers.removeAll(knownCustomers);
      if (!triggerTypes.isEmpty() || !customers.isEmpty()) {
        String names =
            triggerTypes.isEmpty() ? "customers " + customers : "trigger types " + triggerTypes;
        faults.add(
            routeName(index)
                + " asks for "
                + names
                + ", which there are not; mend the name, or leave it out");
      }
    }
    return faults;
  }
}
