package flintlead.configuration.haproxy;

import flintlead.routing.pool.NamePattern;
import flintlead.routing.pool.Route;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Parses criteria of ACLs (manual, 7.1 and 7.3), as far as a route can ask for them: functions by
 * the path, the number of hosts of a pool, and chance.
 */
final class AclCriterionParser {

  private static final int MAX_READY_HOSTS = 100_000;
  private static final double DEFAULT_RANDOM_RANGE = 4_294_967_296.0;
  private static final Set<String> MATCH_METHODS = Set.of("str", "beg", "end");

  /** The proxy in which the rules stand: criteria without a backend's name ask for its own. */
  private final String proxy;

  AclCriterionParser(String proxy) {
    this.proxy = proxy;
  }

  /** A criterion in its parts: {@code name(argument) [-m method] values}. */
  private record Parts(String name, String argument, String method, List<String> values) {}

  /** Returns what the words of an ACL ask for. */
  AclCriterion parse(List<String> words) throws UnmappableRuleException {
    if (words.isEmpty()) {
      throw new UnmappableRuleException("an ACL without a criterion");
    }
    Parts parts = split(words);
    return switch (parts.name) {
      case "always_true" -> new AclCriterion.Constant(true);
      case "always_false" -> new AclCriterion.Constant(false);
      case "nbsrv" -> readyHosts(parts.argument.isEmpty() ? proxy : parts.argument, parts.values);
      case "rand" -> chance(parts.argument, parts.values);
      case "path" -> functions(parts.method, parts.values);
      case "path_beg", "path_end", "path_str" ->
          functions(parts.name.substring("path_".length()), parts.values);
      default ->
          throw new UnmappableRuleException(
              "'"
                  + parts.name
                  + "' asks for what an invocation has not; functions,"
                  + " how many hosts a pool has and chance can be asked for");
    };
  }

  private static Parts split(List<String> words) throws UnmappableRuleException {
    String criterion = words.get(0);
    int open = criterion.indexOf('(');
    String name = open < 0 ? criterion : criterion.substring(0, open);
    boolean hasArgument = open >= 0 && criterion.endsWith(")");
    String argument = hasArgument ? criterion.substring(open + 1, criterion.length() - 1) : "";
    List<String> values = new ArrayList<>(words.subList(1, words.size()));
    String method = takeFlags(values);
    return new Parts(name, argument, method, values);
  }

  /** Removes the flags before the values, and returns the matching method that they name. */
  private static String takeFlags(List<String> values) throws UnmappableRuleException {
    String method = "str";
    while (!values.isEmpty() && values.get(0).startsWith("-") && values.get(0).length() > 1) {
      String flag = values.remove(0);
      if (flag.equals("--")) {
        break;
      }
      if (flag.equals("-m") && !values.isEmpty()) {
        method = values.remove(0);
      } else if (!flag.equals("-n")) {
        throw new UnmappableRuleException(
            flag.equals("-i")
                ? "names of functions are told apart by case"
                : "'" + flag + "' has no meaning here");
      }
    }
    return method;
  }

  private static AclCriterion functions(String method, List<String> paths)
      throws UnmappableRuleException {
    if (!MATCH_METHODS.contains(method)) {
      throw new UnmappableRuleException(
          "names are met whole, by their begin or by their end, not by '" + method + "'");
    }
    List<NamePattern> patterns = new ArrayList<>();
    for (String path : paths) {
      patterns.add(pattern(method, path));
    }
    if (patterns.isEmpty()) {
      throw new UnmappableRuleException("an ACL without a value");
    }
    return new AclCriterion.Functions(patterns);
  }

  /** A function's name is its path without the first slash. */
  private static NamePattern pattern(String method, String path) throws UnmappableRuleException {
    String name = path.startsWith("/") && !method.equals("end") ? path.substring(1) : path;
    boolean hasIllegalChar =
        name.indexOf(NamePattern.WILDCARD) >= 0 || name.chars().anyMatch(Character::isISOControl);
    if (hasIllegalChar || name.isEmpty() && method.equals("str")) {
      throw new UnmappableRuleException("'" + path + "' can't be a function's name");
    }
    return new NamePattern(
        switch (method) {
          case "beg" -> name + NamePattern.WILDCARD;
          case "end" -> NamePattern.WILDCARD + name;
          default -> name;
        });
  }

  private static AclCriterion readyHosts(String pool, List<String> values)
      throws UnmappableRuleException {
    String operator = values.size() == 2 ? values.get(0) : "eq";
    String text = values.isEmpty() ? "" : values.get(values.size() - 1);
    if (values.size() > 2
        || !text.matches("\\d{1,6}")
        || Integer.parseInt(text) > MAX_READY_HOSTS) {
      throw new UnmappableRuleException("nbsrv should stand with one operator and one number");
    }
    int number = Integer.parseInt(text);
    return new AclCriterion.ReadyHosts(
        switch (operator) {
          case "lt" -> new Route.Condition(pool, true, number);
          case "le" -> new Route.Condition(pool, true, number + 1);
          case "ge" -> new Route.Condition(pool, false, number);
          case "gt" -> new Route.Condition(pool, false, number + 1);
          case "eq" -> {
            if (number != 0) {
              throw new UnmappableRuleException(
                  "a route asks for fewer hosts than a number, or as many; not for just as many");
            }
            yield new Route.Condition(pool, true, 1);
          }
          default -> throw new UnmappableRuleException("'" + operator + "' is no operator");
        });
  }

  private static AclCriterion chance(String range, List<String> values)
      throws UnmappableRuleException {
    boolean valid =
        values.size() == 2
            && values.get(1).matches("\\d{1,9}")
            && (range.isEmpty() || range.matches("\\d{1,9}"));
    double all = !valid || range.isEmpty() ? DEFAULT_RANDOM_RANGE : Double.parseDouble(range);
    if (!valid || all < 1) {
      throw new UnmappableRuleException(
          "rand should stand with a range, one operator and one number");
    }
    double at = Double.parseDouble(values.get(1));
    double below =
        switch (values.get(0)) {
          case "lt" -> at;
          case "le" -> at + 1;
          case "ge" -> all - at;
          case "gt" -> all - at - 1;
          default ->
              throw new UnmappableRuleException("'" + values.get(0) + "' is no operator for rand");
        };
    return new AclCriterion.Chance(Math.max(0, Math.min(1, below / all)));
  }
}
