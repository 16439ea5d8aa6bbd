package flintlead.gateway;

import flintlead.routing.pool.PoolRouter;
import flintlead.routing.pool.RouteRequest;
import flintlead.scheduling.api.InvocationSpec;
import flintlead.scheduling.api.TriggerType;
import flintlead.time.Moment;
import flintlead.time.Span;

/** What the scheduler and the pool router are told of an invocation. Without state. */
final class InvocationMapping {

  private InvocationMapping() {}

  static boolean hasToken(GatewayConfig.Trigger trigger) {
    return trigger.effect() == TriggerType.Effect.TOKENED;
  }

  static RouteRequest routeRequest(InvocationRequest request, GatewayConfig.Trigger trigger) {
    return new RouteRequest(
        request.function(),
        trigger.name(),
        request.customer(),
        hasToken(trigger) ? request.token() : null,
        trigger.window());
  }

  static PoolRouter.InvocationResult poolOutcome(
      PendingInvocation invocation, InvocationResponse response, double latency) {
    if (invocation.isAbandoned()) {
      return PoolRouter.InvocationResult.UNKNOWN;
    }
    return response.status() == InvocationResponse.Status.SUCCEEDED && latency <= 1
        ? PoolRouter.InvocationResult.SUCCEEDED
        : PoolRouter.InvocationResult.FAILED;
  }

  static InvocationSpec spec(
      PendingInvocation invocation, InvocationValidator.Resolved resolved, Moment now) {
    GatewayConfig.Footprint footprint = invocation.footprint();
    return new InvocationSpec(
        resolved.triggerType(),
        resolved.customer(),
        resolved.function(),
        invocation.deadline().since(now),
        Span.ZERO,
        false,
        footprint.memoryMb(),
        footprint.slotsPerInstance(),
        footprint.loadTime(),
        invocation.request().clientRetry(),
        invocation.poolAssignment().poolId());
  }
}
