package flintlead.routing.pool;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Pools and the routes to them. Immutable. */
public final class Layout {

  /**
   * Small enough that during a transition each pool of both layouts has its own id (see {@link
   * PoolRouter#MAX_POOL_IDS}).
   */
  public static final int MAX_POOLS = 24;

  public static final int MAX_ROUTES = 1_000;

  /** One pool of all hosts. */
  public static final Layout DEFAULT =
      new Layout(List.of(Pool.of("all", Selector.ALL)), List.of(Route.catchAll("all")));

  /** The properties of a host by which pools select it, and whether it is ready. */
  public record HostDescriptor(String name, int zone, int kind, boolean ready) {}

  /** By name, sorted. */
  private final Map<String, Pool> pools = new TreeMap<>();

  private final List<Route> routes;

  /**
   * @throws IllegalArgumentException if two pools have the same name
   */
  public Layout(Collection<Pool> pools, List<Route> routes) {
    for (Pool pool : pools) {
      if (this.pools.put(pool.name(), pool) != null) {
        throw new IllegalArgumentException("pool '" + pool.name() + "' stands twice");
      }
    }
    this.routes = List.copyOf(routes);
  }

  /** The pools, by name. */
  public Collection<Pool> pools() {
    return Collections.unmodifiableCollection(pools.values());
  }

  /** Returns the pool of that name; null when there is none. */
  public Pool pool(String name) {
    return pools.get(name);
  }

  /** The names of the pools, sorted. */
  Set<String> poolNames() {
    return Collections.unmodifiableSet(pools.keySet());
  }

  /** Whether this has a pool of the same name that selects the same hosts. */
  boolean hasSameHosts(Pool other) {
    Pool own = pools.get(other.name());
    return own != null && own.selector().equals(other.selector());
  }

  /** The routes in order; the first one that matches an invocation applies. */
  public List<Route> routes() {
    return routes;
  }

  /**
   * Names of the pools that some route sends invocations to with a weight above 0, in the order of
   * the routes.
   */
  public Set<String> usedPools() {
    return routes.stream()
        .flatMap(route -> route.targets().stream())
        .filter(target -> target.weight() > 0)
        .map(Route.Target::pool)
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }

  /** Number of ready hosts that the pool selects. */
  public static long countReadyHosts(Pool pool, Collection<HostDescriptor> hosts) {
    return hosts.stream()
        .filter(
            host -> host.ready() && pool.selector().matches(host.name(), host.zone(), host.kind()))
        .count();
  }

  /**
   * Checks the layout on its own, without hosts.
   *
   * @return each fault with how to correct it; empty if the layout is valid
   */
  public List<String> validate() {
    return new LayoutValidator(this).faults();
  }

  /**
   * Checks the layout against a list of hosts. Returns a fault for each used pool without enough
   * ready hosts, and for each pattern that no host matches.
   */
  public List<String> validate(Collection<HostDescriptor> hosts) {
    return new LayoutValidator(this).faultsWith(hosts);
  }

  /**
   * Checks the names in routes. Returns a fault for each route with trigger types or customers that
   * are not among the known ones.
   */
  public List<String> validateNames(Set<String> triggerTypes, Set<String> customers) {
    return new LayoutValidator(this).unknownNames(triggerTypes, customers);
  }

  /**
   * Returns the text in which the layout is stored: a line for each pool and each route, which
   * begins with a tab.
   */
  public String toText() {
    return LayoutCodec.encode(this);
  }

  /**
   * Parses the lines of {@link #toText}.
   *
   * @throws IllegalArgumentException if a line is neither a pool nor a route
   */
  public static Layout parse(List<String> lines) {
    return LayoutCodec.decode(lines);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Layout layout
        && layout.pools.equals(pools)
        && layout.routes.equals(routes);
  }

  @Override
  public int hashCode() {
    return pools.hashCode() * 31 + routes.hashCode();
  }

  @Override
  public String toString() {
    return toText();
  }
}
