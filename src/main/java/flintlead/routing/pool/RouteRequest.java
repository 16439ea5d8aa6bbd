package flintlead.routing.pool;

import flintlead.time.Span;

/**
 * The properties of an invocation that determine its pool.
 *
 * @param function name of the function
 * @param triggerType name of the trigger type
 * @param customer name of the customer; null if the client gives none
 * @param idempotencyKey the client's idempotency key; null for an invocation without one
 * @param deduplicationWindow how long hosts remember the key after the last dispatch
 */
public record RouteRequest(
    String function,
    String triggerType,
    String customer,
    String idempotencyKey,
    Span deduplicationWindow) {}
