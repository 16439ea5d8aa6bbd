package flintlead.configuration.haproxy;

import flintlead.routing.pool.NamePattern;
import flintlead.routing.pool.Route;
import java.util.ArrayList;
import java.util.List;

/**
 * What one route asks for. A rule of the source is read as alternatives, each of which becomes a
 * route.
 *
 * @param functions patterns of which one must match; null for any function, an empty list for none
 *     at all
 * @param when conditions that must all hold
 * @param chance the share of the invocations that it holds for
 */
record RouteAlternative(List<NamePattern> functions, List<Route.Condition> when, double chance) {

  /** Holds for every invocation. */
  static final RouteAlternative ANY = new RouteAlternative(null, List.of(), 1);

  static RouteAlternative ofFunctions(List<NamePattern> functions) {
    return new RouteAlternative(functions, List.of(), 1);
  }

  static RouteAlternative ofCondition(Route.Condition condition) {
    return new RouteAlternative(null, List.of(condition), 1);
  }

  static RouteAlternative ofChance(double chance) {
    return new RouteAlternative(null, List.of(), chance);
  }

  /** Returns whether any invocation can meet it. */
  boolean isPossible() {
    return (functions == null || !functions.isEmpty()) && chance > 0;
  }

  /** Returns whether it holds for a share of the invocations only. */
  boolean isByChance() {
    return chance < 1;
  }

  /** Returns what holds where both hold. */
  RouteAlternative and(RouteAlternative other) throws UnmappableRuleException {
    if (isByChance() && other.isByChance()) {
      throw new UnmappableRuleException("two shares by chance in one rule");
    }
    List<Route.Condition> both = new ArrayList<>(when);
    other.when.stream().filter(each -> !both.contains(each)).forEach(both::add);
    return new RouteAlternative(commonFunctions(other), both, Math.min(chance, other.chance));
  }

  private List<NamePattern> commonFunctions(RouteAlternative other) {
    if (functions == null) {
      return other.functions;
    }
    return other.functions == null ? functions : PatternIntersection.of(functions, other.functions);
  }
}
