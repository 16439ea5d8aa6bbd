package flintlead.testing.scenario;

import flintlead.gateway.GatewayConfig;
import flintlead.time.Moment;

/**
 * An invocation that a client wants answered, over all its attempts.
 *
 * @param idempotencyKey the same for all attempts
 * @param workMs work in milliseconds on a core of speed 1
 * @param firstSentAt when the first attempt was due
 * @param shortDeadline whether the client gives it only a part of its latency objective
 * @param cancels whether the client cancels such an attempt half-way
 * @param counted false during the warm-up
 */
record PlannedInvocation(
    String function,
    GatewayConfig.Trigger trigger,
    String idempotencyKey,
    double workMs,
    Moment firstSentAt,
    boolean shortDeadline,
    boolean cancels,
    boolean counted) {}
