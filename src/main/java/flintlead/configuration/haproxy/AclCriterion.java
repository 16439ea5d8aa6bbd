package flintlead.configuration.haproxy;

import flintlead.routing.pool.NamePattern;
import flintlead.routing.pool.Route;
import java.util.List;
import java.util.Optional;

/** What one line of an ACL, or an anonymous ACL, asks for. */
sealed interface AclCriterion {

  /** Returns what holds where the criterion does; empty where it never does. */
  Optional<RouteAlternative> holds();

  /** Returns what holds where the criterion does not; empty where it always does. */
  Optional<RouteAlternative> doesNotHold() throws UnmappableRuleException;

  /** The function's name matches one of the patterns. */
  record Functions(List<NamePattern> patterns) implements AclCriterion {

    /** Returns whether every name matches. */
    boolean matchesAll() {
      return patterns.stream()
          .anyMatch(each -> each.text().equals(String.valueOf(NamePattern.WILDCARD)));
    }

    @Override
    public Optional<RouteAlternative> holds() {
      return Optional.of(RouteAlternative.ofFunctions(patterns));
    }

    @Override
    public Optional<RouteAlternative> doesNotHold() throws UnmappableRuleException {
      throw new UnmappableRuleException(
          "a route can't ask for all functions but some; turn the rules round");
    }
  }

  /** A pool has fewer ready hosts than a number, or as many. */
  record ReadyHosts(Route.Condition condition) implements AclCriterion {

    @Override
    public Optional<RouteAlternative> holds() {
      return Optional.of(RouteAlternative.ofCondition(condition));
    }

    @Override
    public Optional<RouteAlternative> doesNotHold() {
      Route.Condition opposite =
          new Route.Condition(condition.pool(), !condition.below(), condition.readyHosts());
      return Optional.of(RouteAlternative.ofCondition(opposite));
    }
  }

  /** Holds always, or never. */
  record Constant(boolean value) implements AclCriterion {

    @Override
    public Optional<RouteAlternative> holds() {
      return value ? Optional.of(RouteAlternative.ANY) : Optional.empty();
    }

    @Override
    public Optional<RouteAlternative> doesNotHold() {
      return value ? Optional.empty() : Optional.of(RouteAlternative.ANY);
    }
  }

  /** Holds for a share of the invocations, by chance. */
  record Chance(double share) implements AclCriterion {

    @Override
    public Optional<RouteAlternative> holds() {
      return Optional.of(RouteAlternative.ofChance(share));
    }

    @Override
    public Optional<RouteAlternative> doesNotHold() {
      return Optional.of(RouteAlternative.ofChance(1 - share));
    }
  }
}
