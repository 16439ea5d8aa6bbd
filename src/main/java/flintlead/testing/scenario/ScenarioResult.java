package flintlead.testing.scenario;

import java.util.List;
import java.util.Map;

/**
 * The result of a run. The names of its components are the keys of its JSON form, which {@code
 * --json} prints.
 *
 * @param name of the scenario
 * @param types counts by trigger type
 * @param service share of the billed value that was answered within the latency objective
 * @param dispatches attempts that reached a host
 * @param loads instances that hosts loaded
 * @param fetches that hosts made from the store
 * @param orders load orders that reached a host
 * @param gateways counters of all gateways together, by name
 * @param breaches of the rules, none where all held
 * @param invocations that clients wanted, warm-up included, each counted once
 * @param wasted share of the hosts' work that made no client's response
 */
public record ScenarioResult(
    String name,
    long seed,
    Map<String, TypeResult> types,
    double service,
    long dispatches,
    long loads,
    long fetches,
    long orders,
    Map<String, Long> gateways,
    List<Auditor.Violation> breaches,
    long invocations,
    double wasted) {

  /**
   * How the invocations of a trigger type ended, warm-up excluded. The names of its fields are JSON
   * keys.
   */
  public static final class TypeResult {
    /** Invocations that clients wanted. */
    public long asked;

    /** Answered within the latency objective, over all attempts. */
    public long inObjective;

    /** Answered after the latency objective. */
    public long late;

    /** Rejected for overload, at the last attempt. */
    public long throttled;

    /** Failed or rejected for another reason, at the last attempt. */
    public long errored;

    /** Without a response, as the connection ended first or no gateway could be reached. */
    public long lost;

    /** Median time to a successful response, in milliseconds. */
    public long p50Ms;

    /** 99th percentile of the time to a successful response, in milliseconds. */
    public long p99Ms;
  }
}
