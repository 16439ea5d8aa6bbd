package flintlead.routing.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;

/**
 * Sends the invocations that match all of its criteria to a pool, or splits them over several
 * pools. A criterion with an empty list matches every invocation.
 *
 * @param functions patterns of function names
 * @param triggerTypes names of trigger types
 * @param customers names of customers
 * @param conditions conditions on the pools, all of which must hold
 * @param targets the pools that invocations are sent to, with their weights
 * @param splitKey what selects one of several targets
 */
public record Route(
    List<NamePattern> functions,
    List<String> triggerTypes,
    List<String> customers,
    List<Condition> conditions,
    List<Target> targets,
    SplitKey splitKey) {

  /**
   * A pool that a route sends invocations to.
   *
   * @param weight the pool's weight: its share is the weight over the sum of the route's weights
   */
  public record Target(String pool, double weight) {}

  /**
   * A condition on the number of ready hosts of a pool.
   *
   * @param below true if the pool must have fewer than {@code readyHosts}, false if at least as
   *     many
   */
  public record Condition(String pool, boolean below, int readyHosts) {

    private static final java.util.regex.Pattern SYNTAX =
        java.util.regex.Pattern.compile("ready\\((\\S+)\\)\\s*(<|>=)\\s*(\\d{1,6})");

    @Override
    public String toString() {
      return "ready(" + pool + ") " + (below ? "<" : ">=") + " " + readyHosts;
    }

    /**
     * Parses a condition.
     *
     * @throws IllegalArgumentException if the text is not a condition; the message gives an example
     */
    public static Condition parse(String text) {
      Matcher matcher = SYNTAX.matcher(text);
      if (!matcher.matches()) {
        throw new IllegalArgumentException(
            "'" + text + "' is no condition; write ready(POOL) < 2 or ready(POOL) >= 2");
      }
      return new Condition(
          matcher.group(1), matcher.group(2).equals("<"), Integer.parseInt(matcher.group(3)));
    }
  }

  /**
   * What selects the target of an invocation in a split. The names are stored and used in
   * configuration files.
   */
  public enum SplitKey {
    /**
     * The function, so that its instances are in one pool only. Every gateway selects the same
     * target.
     */
    FUNCTION,
    /** The customer. */
    CUSTOMER,
    /**
     * The idempotency key, so that a repeat goes to the same pool; a random number for an
     * invocation without a key.
     */
    INVOCATION
  }

  public Route {
    functions = List.copyOf(functions);
    triggerTypes = List.copyOf(triggerTypes);
    customers = List.copyOf(customers);
    conditions = List.copyOf(conditions);
    targets = List.copyOf(targets);
  }

  /** Returns a route that sends every invocation to one pool. */
  public static Route catchAll(String pool) {
    return new Route(
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(new Target(pool, 1)),
        SplitKey.FUNCTION);
  }

  /** Describes the criteria and targets in one line for operators. */
  public String describe() {
    List<String> criteria = new ArrayList<>();
    functions.forEach(pattern -> criteria.add(pattern.text()));
    triggerTypes.forEach(type -> criteria.add("type " + type));
    customers.forEach(customer -> criteria.add("of " + customer));
    conditions.forEach(condition -> criteria.add("when " + condition));
    return (criteria.isEmpty() ? "all" : String.join(", ", criteria)) + " -> " + printTargets();
  }

  private String printTargets() {
    if (targets.size() == 1) {
      return targets.get(0).pool();
    }
    List<String> weighted =
        targets.stream().map(target -> target.pool() + " " + target.weight()).toList();
    return String.join(", ", weighted) + " by " + splitKey.name().toLowerCase(Locale.ROOT);
  }

  /** Whether the route matches every invocation, without any condition. */
  public boolean matchesAll() {
    return functions.isEmpty()
        && triggerTypes.isEmpty()
        && customers.isEmpty()
        && conditions.isEmpty();
  }

  /** Whether the request meets the criteria. Conditions on pools are not checked. */
  boolean matches(RouteRequest request) {
    return (functions.isEmpty()
            || functions.stream().anyMatch(pattern -> pattern.matches(request.function())))
        && (triggerTypes.isEmpty() || triggerTypes.contains(request.triggerType()))
        && (customers.isEmpty()
            || request.customer() != null && customers.contains(request.customer()));
  }

  /**
   * Whether this route matches every invocation that the other one matches, so that the other is
   * unreachable if it comes later in the list.
   */
  boolean covers(Route other) {
    return conditions.isEmpty()
        && coversFunctions(other.functions)
        && containsAll(triggerTypes, other.triggerTypes)
        && containsAll(customers, other.customers);
  }

  private boolean coversFunctions(List<NamePattern> others) {
    if (functions.isEmpty()) {
      return true;
    }
    return !others.isEmpty()
        && others.stream().allMatch(other -> functions.stream().anyMatch(own -> own.covers(other)));
  }

  /** Whether a list of names contains all of another; an empty list stands for all names. */
  private static boolean containsAll(List<String> names, List<String> others) {
    return names.isEmpty() || !others.isEmpty() && names.containsAll(others);
  }
}
