package flintlead.configuration.haproxy;

import flintlead.routing.pool.Layout;
import flintlead.routing.pool.Pool;
import flintlead.routing.pool.Route;
import flintlead.routing.pool.Selector;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A gateway's configuration file while it is put together: where clients come in, the pools with
 * their servers, and the routes to them.
 */
final class GatewayFile {

  /** Suffix of the pool that holds a pool's backup servers. */
  static final String BACKUP_SUFFIX = ".backup";

  /**
   * A backend as a pool.
   *
   * @param section of the source
   * @param servers that can be taken over, backups among them
   */
  record ImportedPool(SourceSection section, List<ServerLine> servers) {

    /** Backups matter only where there is something that they back up. */
    boolean hasBackups() {
      return servers.stream().anyMatch(ServerLine::isBackup)
          && servers.stream().anyMatch(server -> !server.isBackup());
    }
  }

  private final String name;
  private final SourceLine head;
  private final Set<String> listen = new LinkedHashSet<>();
  private final Map<String, ImportedPool> pools = new LinkedHashMap<>();
  private final List<Route> routes = new ArrayList<>();

  /** Least bound of client connections of its proxies; 0 for none. */
  private int maxConnections;

  /**
   * Creates a file without addresses, pools and routes.
   *
   * @param head the first line of the section that it is made for
   */
  GatewayFile(String name, SourceLine head) {
    this.name = name;
    this.head = head;
  }

  String name() {
    return name;
  }

  SourceLine head() {
    return head;
  }

  // ---- where clients come in ----

  Collection<String> listen() {
    return Collections.unmodifiableSet(listen);
  }

  void addAddress(String address) {
    listen.add(address);
  }

  /** Bounds the client connections; the least of all bounds holds. 0 is none. */
  void boundConnections(int most) {
    if (most > 0) {
      maxConnections = maxConnections == 0 ? most : Math.min(maxConnections, most);
    }
  }

  int maxConnections() {
    return maxConnections;
  }

  // ---- pools ----

  /** Adds a backend as a pool, unless it is one already; returns the pool's name. */
  String addPool(SourceSection section, List<ServerLine> servers) {
    for (Map.Entry<String, ImportedPool> pool : pools.entrySet()) {
      if (pool.getValue().section() == section) {
        return pool.getKey();
      }
    }
    String plain = fileName(section.name());
    String pool = plain;
    for (int i = 2;
        pools.containsKey(pool) || pools.containsKey(pool.replace(BACKUP_SUFFIX, ""));
        i++) {
      pool = plain + "-" + i;
    }
    pools.put(pool, new ImportedPool(section, servers));
    return pool;
  }

  /** Returns the name of a section in the characters that a file's or a pool's name may have. */
  static String fileName(String sectionName) {
    return sectionName.replaceAll("[^A-Za-z0-9._-]", "_");
  }

  Map<String, ImportedPool> pools() {
    return Collections.unmodifiableMap(pools);
  }

  /** Removes pools that no route leads to or looks at; returns the sections of those that stay. */
  List<SourceSection> prunePools() {
    Set<String> used = new HashSet<>();
    for (Route route : routes) {
      route.targets().forEach(share -> used.add(share.pool()));
      route.conditions().forEach(condition -> used.add(condition.pool()));
    }
    pools.keySet().retainAll(used);
    return pools.values().stream().map(ImportedPool::section).toList();
  }

  // ---- routes ----

  List<Route> routes() {
    return Collections.unmodifiableList(routes);
  }

  /**
   * Adds a route, unless the routes before it match all that it matches; returns whether it was
   * added.
   */
  boolean addRoute(Route route) {
    routes.add(route);
    Set<String> names =
        routes.stream()
            .flatMap(each -> each.targets().stream())
            .map(Route.Target::pool)
            .collect(Collectors.toSet());
    Layout layout =
        new Layout(names.stream().map(pool -> Pool.of(pool, Selector.ALL)).toList(), routes);
    boolean reached =
        layout.validate().stream().noneMatch(fault -> fault.contains("is never reached"));
    if (!reached) {
      routes.remove(routes.size() - 1);
    }
    return reached;
  }

  /** Returns whether the last route matches everything. */
  boolean hasCatchAllRoute() {
    return !routes.isEmpty() && routes.get(routes.size() - 1).matchesAll();
  }
}
