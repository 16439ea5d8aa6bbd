package flintlead.routing.pool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Encodes layouts as text, in which versions of the configuration are stored and compared: a line
 * for each pool and each route, with tab-separated fields after a leading tab.
 */
final class LayoutCodec {

  private static final String FIELD_SEPARATOR = "\t";

  /** Separates the elements of a list; no name contains it. */
  private static final String LIST_SEPARATOR = "\u001f";

  private static final String POOL_LINE = "pool";
  private static final String ROUTE_LINE = "route";

  /** Number of fields of a line, including the empty one before the leading tab. */
  private static final int POOL_FIELDS = 9;

  private static final int ROUTE_FIELDS = 8;

  private LayoutCodec() {}

  static String encode(Layout layout) {
    StringBuilder text = new StringBuilder();
    layout.pools().forEach(pool -> appendLine(text, poolFields(pool)));
    layout.routes().forEach(route -> appendLine(text, routeFields(route)));
    return text.toString();
  }

  private static void appendLine(StringBuilder text, List<String> fields) {
    text.append(FIELD_SEPARATOR).append(String.join(FIELD_SEPARATOR, fields)).append('\n');
  }

  private static List<String> poolFields(Pool pool) {
    Selector selector = pool.selector();
    return List.of(
        POOL_LINE,
        pool.name(),
        encodeList(selector.hosts()),
        encodeList(selector.zones()),
        encodeList(selector.kinds()),
        Integer.toString(pool.minReadyHosts()),
        Integer.toString(pool.maxInFlight()),
        encodeList(pool.spillTo()));
  }

  private static List<String> routeFields(Route route) {
    List<String> targets = route.targets().stream().map(LayoutCodec::encodeTarget).toList();
    return List.of(
        ROUTE_LINE,
        encodeList(route.functions()),
        encodeList(route.triggerTypes()),
        encodeList(route.customers()),
        encodeList(route.conditions()),
        encodeList(targets),
        route.splitKey().name());
  }

  private static String encodeTarget(Route.Target target) {
    return target.weight() + " " + target.pool();
  }

  private static String encodeList(List<?> elements) {
    return elements.stream().map(Object::toString).collect(Collectors.joining(LIST_SEPARATOR));
  }

  /**
   * @throws IllegalArgumentException if a line is neither a pool nor a route
   */
  static Layout decode(List<String> lines) {
    List<Pool> pools = new ArrayList<>();
    List<Route> routes = new ArrayList<>();
    for (String line : lines) {
      String[] fields = line.split(FIELD_SEPARATOR, -1);
      if (fields.length == POOL_FIELDS && fields[1].equals(POOL_LINE)) {
        pools.add(decodePool(fields));
      } else if (fields.length == ROUTE_FIELDS && fields[1].equals(ROUTE_LINE)) {
        routes.add(decodeRoute(fields));
      } else {
        throw new IllegalArgumentException(
            "expected a line of a pool or a route, got: " + line.strip());
      }
    }
    return new Layout(pools, routes);
  }

  private static Pool decodePool(String[] fields) {
    Selector selector =
        new Selector(decodePatterns(fields[3]), decodeNumbers(fields[4]), decodeNumbers(fields[5]));
    return new Pool(
        fields[2],
        selector,
        Integer.parseInt(fields[6]),
        Integer.parseInt(fields[7]),
        decodeList(fields[8]));
  }

  private static Route decodeRoute(String[] fields) {
    List<Route.Condition> conditions =
        decodeList(fields[5]).stream().map(Route.Condition::parse).toList();
    List<Route.Target> targets =
        decodeList(fields[6]).stream().map(LayoutCodec::decodeTarget).toList();
    return new Route(
        decodePatterns(fields[2]),
        decodeList(fields[3]),
        decodeList(fields[4]),
        conditions,
        targets,
        Route.SplitKey.valueOf(fields[7]));
  }

  private static Route.Target decodeTarget(String text) {
    int space = text.indexOf(' ');
    if (space < 0) {
      throw new IllegalArgumentException("expected a weight and the name of a pool, got: " + text);
    }
    return new Route.Target(
        text.substring(space + 1), Double.parseDouble(text.substring(0, space)));
  }

  private static List<String> decodeList(String text) {
    return text.isEmpty() ? List.of() : Arrays.asList(text.split(LIST_SEPARATOR, -1));
  }

  private static List<NamePattern> decodePatterns(String text) {
    return decodeList(text).stream().map(NamePattern::new).toList();
  }

  private static List<Integer> decodeNumbers(String text) {
    return decodeList(text).stream().map(Integer::valueOf).toList();
  }
}
