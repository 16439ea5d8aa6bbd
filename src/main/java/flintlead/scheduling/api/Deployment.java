package flintlead.scheduling.api;

import flintlead.time.Span;
import java.util.List;

/**
 * Settings of the deployment that a gateway knows at startup. A scheduling policy need not use all
 * of them.
 *
 * @param index index of this gateway among the gateways, from 0
 * @param gateways number of gateways that share the hosts
 * @param zone zone of this gateway
 * @param tick resolution of the clock
 * @param requiresHostSubscription whether the gateway must subscribe to the host list
 * @param customerQuotas invocations per second that each customer may send, over all gateways
 * @param answerSlack how long after its deadline an invocation may still be answered
 * @param firstAttemptWithin time within which the first attempt must be sent; zero for no limit
 * @param slowStartFraction share of its full capacity that a host has when its process starts
 * @param slowStartDuration time from its start until a host has its full capacity
 * @param overloadFactor multiple of its capacity at which a host fails
 * @param overloadWindow how long a host withstands such an overload
 * @param attemptLimit maximum number of attempts per invocation
 * @param supportsCancellation whether attempts can be cancelled at hosts
 * @param supportsHedging whether an invocation may have two attempts in flight at once
 * @param supportsProbes whether hosts send load reports on request
 * @param supportsPeers whether gateways can send messages to each other
 * @param supportsRetryAfter whether a rejection can tell the client when to retry
 * @param maxRetryAfter the longest retry delay that a rejection can carry
 * @param hostLoadsOnMiss whether a host loads a function that it does not have loaded, instead of
 *     answering MISS
 * @param supportsLoadOrders whether hosts accept load orders
 * @param reportsWarm whether answers report if the invocation found a loaded instance
 * @param reportsConcurrency whether answers report how many other invocations of the function the
 *     host runs
 * @param instanceKeepAlive minimum time for which hosts keep an unused instance
 * @param loadTimeout time after which a load order counts as failed
 * @param loadOrderWindow length of the sliding window over which load orders are limited; zero for
 *     no limit
 * @param loadOrderBurst load orders always allowed in a window
 * @param loadOrderShare further load orders allowed for each invocation in the window
 * @param reportNames names of the load figures that hosts report, in order
 */
public record Deployment(
    int index,
    int gateways,
    int zone,
    Span tick,
    boolean requiresHostSubscription,
    List<TriggerType> triggerTypes,
    List<Double> customerQuotas,
    Span answerSlack,
    Span firstAttemptWithin,
    double slowStartFraction,
    Span slowStartDuration,
    double overloadFactor,
    Span overloadWindow,
    int attemptLimit,
    boolean supportsCancellation,
    boolean supportsHedging,
    boolean supportsProbes,
    boolean supportsPeers,
    boolean supportsRetryAfter,
    Span maxRetryAfter,
    boolean hostLoadsOnMiss,
    boolean supportsLoadOrders,
    boolean reportsWarm,
    boolean reportsConcurrency,
    Span instanceKeepAlive,
    Span loadTimeout,
    Span loadOrderWindow,
    double loadOrderBurst,
    double loadOrderShare,
    List<String> reportNames) {

  /** Returns the largest billed value of all trigger types, or 0 if there are none. */
  public double highestBilledValue() {
    return triggerTypes.stream().mapToDouble(TriggerType::billedValue).max().orElse(0);
  }

  /** Returns the shortest latency objective of all trigger types, or zero if there are none. */
  public Span shortestObjective() {
    return triggerTypes.stream()
        .map(TriggerType::latencyObjective)
        .reduce(Span::shorter)
        .orElse(Span.ZERO);
  }

  /** Limits a retry delay to what a rejection can carry; zero if it can carry none. */
  public Span boundRetryAfter(Span wanted) {
    return supportsRetryAfter ? Span.shorter(wanted, maxRetryAfter) : Span.ZERO;
  }
}
