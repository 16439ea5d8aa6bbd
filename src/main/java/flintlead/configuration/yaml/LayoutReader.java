package flintlead.configuration.yaml;

import flintlead.routing.pool.Layout;
import flintlead.routing.pool.NamePattern;
import flintlead.routing.pool.Pool;
import flintlead.routing.pool.Route;
import flintlead.routing.pool.Selector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;

/** Reads pools and routes from a configuration file. */
public final class LayoutReader {

  /** How a fault of a layout begins where it belongs to one pool or route. */
  private static final java.util.regex.Pattern FAULT_SUBJECT =
      java.util.regex.Pattern.compile("pool '[^']*'|route \\d+");

  private static final int MAX_NUMBER = 65_535;
  private static final double MAX_SHARE = 1e9;

  private LayoutReader() {}

  /** A layout, and where each of its parts stands in the file. */
  public static final class ParsedLayout {
    private final YamlSection top;

    /** Sections of the file by the words with which a fault of the layout begins. */
    private final Map<String, YamlSection> sections = new HashMap<>();

    private Layout layout;

    private ParsedLayout(YamlSection top) {
      this.top = top;
    }

    /**
     * Returns the layout; null where the file has neither pools nor routes, or none that can be
     * read.
     */
    public Layout layout() {
      return layout;
    }

    /** Reports a fault of the layout at the line of the pool or route that it begins with. */
    public void addError(String fault) {
      int cut = fault.lastIndexOf("; ");
      String what = fault.substring(0, cut);
      String fix = fault.substring(cut + 2);
      Matcher subject = FAULT_SUBJECT.matcher(fault);
      YamlSection section = subject.lookingAt() ? sections.get(subject.group()) : null;
      if (section != null) {
        section.addError(fault.startsWith("pool") ? "name" : "to", what, fix);
      } else {
        top.addError(fault.contains("pools;") ? "pools" : "routes", what, fix);
      }
    }
  }

  /** Reads the keys {@code pools} and {@code routes}. Faults are collected in the section. */
  public static ParsedLayout read(YamlSection top) {
    ParsedLayout read = new ParsedLayout(top);
    boolean hasPools = top.has("pools");
    boolean hasRoutes = top.has("routes");
    if (hasPools || hasRoutes) {
      read.layout = layout(top, read);
    }
    return read;
  }

  private static Layout layout(YamlSection top, ParsedLayout read) {
    List<Pool> pools = new ArrayList<>();
    for (YamlSection each : top.sections("pools")) {
      pools.add(pool(each));
      read.sections.put("pool '" + pools.get(pools.size() - 1).name() + "'", each);
    }
    List<Route> routes = new ArrayList<>();
    for (YamlSection each : top.sections("routes")) {
      routes.add(route(each));
      read.sections.put("route " + routes.size(), each);
    }
    if (pools.size() == 1 && routes.isEmpty()) {
      routes.add(Route.catchAll(pools.get(0).name()));
    }
    try {
      Layout layout = new Layout(pools, routes);
      layout.validate().forEach(read::addError);
      return layout;
    } catch (IllegalArgumentException e) {
      top.addError("pools", e.getMessage(), "rename one of them");
      return null;
    }
  }

  private static Pool pool(YamlSection from) {
    Pool usual = Pool.of("", Selector.ALL);
    Pool pool =
        new Pool(
            from.string("name", null),
            new Selector(patterns(from, "hosts"), numbers(from, "zones"), numbers(from, "kinds")),
            from.integer("least", usual.minReadyHosts(), 0, MAX_NUMBER),
            from.integer("most", usual.maxInFlight(), 1, Pool.MAX_IN_FLIGHT),
            from.strings("spillTo", List.of()));
    from.rejectUnknownKeys();
    return pool;
  }

  private static Route route(YamlSection from) {
    List<Route.Condition> when = new ArrayList<>();
    for (String text : from.strings("when", List.of())) {
      try {
        when.add(Route.Condition.parse(text));
      } catch (IllegalArgumentException e) {
        from.addError("when", e.getMessage(), "see docs/pools.md");
      }
    }
    List<Route.Target> to = targets(from);
    Route route =
        new Route(
            patterns(from, "functions"),
            from.strings("triggerTypes", List.of()),
            from.strings("customers", List.of()),
            when,
            to,
            from.enumValue("by", Route.SplitKey.FUNCTION));
    from.rejectUnknownKeys();
    return route;
  }

  private static List<Route.Target> targets(YamlSection from) {
    if (!from.has("split")) {
      return List.of(new Route.Target(from.string("to", null), 1));
    }
    List<Route.Target> targets = new ArrayList<>();
    for (YamlSection each : from.sections("split")) {
      targets.add(
          new Route.Target(each.string("pool", null), each.number("share", 1, 0, MAX_SHARE)));
      each.rejectUnknownKeys();
    }
    if (from.has("to")) {
      from.addError("to", "stands beside split", "leave one of them out");
    }
    return targets;
  }

  private static List<NamePattern> patterns(YamlSection from, String key) {
    List<NamePattern> patterns = new ArrayList<>();
    for (String text : from.strings(key, List.of())) {
      try {
        patterns.add(new NamePattern(text));
      } catch (IllegalArgumentException e) {
        from.addError(key, e.getMessage(), "write a name, or one star for any text in it");
      }
    }
    return patterns;
  }

  private static List<Integer> numbers(YamlSection from, String key) {
    List<Integer> numbers = new ArrayList<>();
    for (String text : from.strings(key, List.of())) {
      if (text.matches("\\d{1,5}") && Integer.parseInt(text) <= MAX_NUMBER) {
        numbers.add(Integer.valueOf(text));
      } else {
        from.addError(
            key, "'" + text + "' is no number from 0 to " + MAX_NUMBER, "write for example [0, 1]");
      }
    }
    return numbers;
  }
}
