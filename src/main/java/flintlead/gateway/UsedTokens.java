package flintlead.gateway;

import flintlead.ids.NameHash;
import flintlead.routing.guard.RecentInvocations;
import flintlead.scheduling.api.TriggerType;

/**
 * Tokens that clients gave to invocations which must not run twice, and which are open or may have
 * run. A client that comes back on another connection is known by nothing else. Used on the
 * gateway's event loop only.
 */
final class UsedTokens {

  private final RecentInvocations recent;

  /** Creates an empty set that takes at most so many bytes. */
  UsedTokens(long maxBytes) {
    this.recent = new RecentInvocations(maxBytes);
  }

  private static boolean isRelevant(InvocationRequest request, GatewayConfig.Trigger trigger) {
    return request.token() != null && trigger.effect() == TriggerType.Effect.NON_IDEMPOTENT;
  }

  /** Whether an earlier invocation with the request's token must not be run again. */
  boolean contains(InvocationRequest request, GatewayConfig.Trigger trigger) {
    return isRelevant(request, trigger) && recent.contains(NameHash.token(request.token()));
  }

  /** The request was accepted. */
  void add(InvocationRequest request, GatewayConfig.Trigger trigger) {
    if (isRelevant(request, trigger)) {
      recent.add(NameHash.token(request.token()));
    }
  }

  /** The invocation has ended; if it has not run, its token may be used again. */
  void ended(PendingInvocation invocation) {
    if (invocation.request().token() != null && !invocation.mayHaveRun()) {
      recent.remove(NameHash.token(invocation.request().token()));
    }
  }
}
