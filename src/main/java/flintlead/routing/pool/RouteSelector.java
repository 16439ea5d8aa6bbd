package flintlead.routing.pool;

import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.function.ToIntFunction;

/**
 * Selects the pool that an invocation is routed to under the layouts in force: by the first route
 * that matches it, and among the targets of that route by its split key. Not thread-safe, as the
 * random source isn't.
 */
final class RouteSelector {

  private final Random random;
  private final ToIntFunction<Pool> readyHosts;
  private LayoutTransition transition;

  /** Cached, as computing it compares two layouts. */
  private boolean complete;

  /**
   * @param random selects targets in splits by invocation
   * @param readyHosts returns the number of ready hosts of a pool of the layouts in force, for
   *     routes with conditions
   */
  RouteSelector(LayoutTransition transition, Random random, ToIntFunction<Pool> readyHosts) {
    this.random = random;
    this.readyHosts = readyHosts;
    setTransition(transition);
  }

  LayoutTransition transition() {
    return transition;
  }

  final void setTransition(LayoutTransition transition) {
    this.transition = transition;
    this.complete = transition.isComplete();
  }

  /** Returns the pool that the request is routed to. */
  Pool select(RouteRequest request) {
    Layout layout = isRoutedByTarget(request) ? transition.target() : transition.source();
    Route route = firstMatching(layout, request);
    if (layout == transition.target()) {
      return layout.pool(chooseTarget(route, request));
    }
    // In a split by invocation these two calls draw independently: the layout whose definition
    // applies is selected by the first draw, the name of the pool by the second.
    boolean unchanged = isUnchanged(chooseTarget(route, request));
    String name = chooseTarget(route, request);
    return unchanged ? definition(name) : layout.pool(name);
  }

  private boolean isRoutedByTarget(RouteRequest request) {
    return complete || HashFraction.TRANSITION.of(request.function()) < transition.targetShare();
  }

  private Route firstMatching(Layout layout, RouteRequest request) {
    for (Route route : layout.routes()) {
      if (route.matches(request) && route.conditions().stream().allMatch(this::holds)) {
        return route;
      }
    }
    throw new IllegalStateException("the last route of a layout must match everything");
  }

  private boolean holds(Route.Condition condition) {
    return readyHosts.applyAsInt(definition(condition.pool())) < condition.readyHosts()
        == condition.below();
  }

  /**
   * Returns the pool of that name as the target layout defines it, or as the source layout does if
   * the target has none.
   */
  Pool definition(String name) {
    Pool pool = transition.target().pool(name);
    return pool != null ? pool : transition.source().pool(name);
  }

  /** Whether both layouts select the same hosts for the pool of that name. */
  private boolean isUnchanged(String name) {
    Pool target = transition.target().pool(name);
    return target != null && target.selector().equals(transition.source().pool(name).selector());
  }

  /** Returns the name of the pool that the route sends the request to. */
  private String chooseTarget(Route route, RouteRequest request) {
    List<Route.Target> targets = route.targets();
    if (targets.size() == 1) {
      return targets.get(0).pool();
    }
    double total = targets.stream().mapToDouble(Route.Target::weight).sum();
    double remaining = splitFraction(route.splitKey(), request) * total;
    String last = null;
    for (Route.Target target : targets) {
      if (target.weight() > 0) {
        last = target.pool();
        remaining -= target.weight();
        if (remaining < 0) {
          return last;
        }
      }
    }
    return last;
  }

  private double splitFraction(Route.SplitKey splitKey, RouteRequest request) {
    return switch (splitKey) {
      case FUNCTION -> HashFraction.SPLIT.of(request.function());
      case CUSTOMER -> HashFraction.SPLIT.of(request.customer() == null ? "" : request.customer());
      case INVOCATION ->
          request.idempotencyKey() != null
              ? HashFraction.SPLIT.of(request.idempotencyKey())
              : random.nextDouble();
    };
  }

  /**
   * Share of the requests that the second layout routes to other hosts than the first. Conditions
   * are evaluated as if no host were ready.
   */
  static double movedShare(Layout first, Layout second, Collection<RouteRequest> requests) {
    if (requests.isEmpty()) {
      return 0;
    }
    RouteSelector before = new RouteSelector(LayoutTransition.of(first), new Random(0), pool -> 0);
    RouteSelector after = new RouteSelector(LayoutTransition.of(second), new Random(0), pool -> 0);
    long moved =
        requests.stream()
            .filter(
                request ->
                    !before.select(request).selector().equals(after.select(request).selector()))
            .count();
    return (double) moved / requests.size();
  }
}
