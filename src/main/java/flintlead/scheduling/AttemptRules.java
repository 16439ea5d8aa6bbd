package flintlead.scheduling;

import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.api.TriggerType;
import flintlead.scheduling.api.TriggerType.Effect;
import flintlead.scheduling.api.TriggerType.Group;
import flintlead.scheduling.lease.SendPermission;
import flintlead.scheduling.state.Attempt;
import flintlead.scheduling.state.Host;
import flintlead.scheduling.state.InvocationState;
import flintlead.scheduling.state.SchedulerState;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.Arrays;

/**
 * Decides which attempts an invocation may make: rule 2 (no side effect runs twice) and rule 3 (no
 * new work for draining hosts).
 */
final class AttemptRules {

  /** Safety margin, in clock ticks, before a deadline or the end of an idempotency key's window. */
  private static final int DEADLINE_MARGIN_TICKS = 2;

  /** Safety margin before a deadline or the end of an idempotency key's window. */
  final Span deadlineMargin;

  private final SchedulerState state;

  /** Attempt limits, indexed by trigger type. */
  private final int[] attemptLimits;

  AttemptRules(SchedulerState state) {
    this.state = state;
    this.deadlineMargin = state.deployment.tick().times(DEADLINE_MARGIN_TICKS);
    this.attemptLimits =
        state.deployment.triggerTypes().stream().mapToInt(this::attemptLimit).toArray();
  }

  /**
   * Scales the attempt limit by the type's billed value relative to the highest of all types: the
   * operators want retries to go to the invocations that are worth most.
   */
  private int attemptLimit(TriggerType type) {
    int maxAttempts = Math.max(1, state.deployment.attemptLimit());
    double highestValue = state.deployment.highestBilledValue();
    if (highestValue <= 0) {
      return maxAttempts;
    }
    return Math.min(
        maxAttempts, 1 + (int) Math.ceil((maxAttempts - 1) * type.billedValue() / highestValue));
  }

  /**
   * Whether the invocation has reached its attempt limit. Attempts that were never sent because the
   * host's lease could not be renewed do not count; there is at most one of them for each host.
   */
  boolean attemptsExhausted(InvocationState invocation) {
    long sent =
        invocation.attempts.stream().filter(attempt -> attempt.outcome != Outcome.UNPROVEN).count();
    return sent >= attemptLimits[invocation.spec.triggerType()];
  }

  /** Rule 2: whether another attempt of the invocation may be sent to the host now. */
  boolean mayAttempt(InvocationState invocation, Host host) {
    if (invocation.settled
        || attemptsExhausted(invocation)
        || !host.entry.serves(invocation.spec.pool())
        || invocation.attemptsInFlight > 0 && !state.deployment.supportsHedging()) {
      return false;
    }
    Attempt first = invocation.firstThatMayHaveRun();
    if (first == null || invocation.type.effect() == Effect.IDEMPOTENT) {
      return true;
    }
    if (invocation.type.effect() == Effect.NON_IDEMPOTENT) {
      return false;
    }
    // While the host list is stale, an address that could not be reached may by now belong to a
    // process of another group.
    if (invocation.type.group() != Group.ALL
        && (isIdentityUnknown(first.host) || isIdentityUnknown(host))) {
      return false;
    }
    Moment windowEnd = first.sentAt.plus(invocation.type.window());
    return invocation.type.group().covers(first.host.entry, host.entry)
        && state.now().plus(deadlineMargin).isBefore(windowEnd);
  }

  private boolean isIdentityUnknown(Host host) {
    return !state.leases.isIdentityKnown(host.id(), state.now());
  }

  /** Whether there is time for another attempt and a host that may be sent it. */
  boolean mayRetry(InvocationState invocation) {
    return !attemptsExhausted(invocation)
        && state.now().plus(deadlineMargin).isBefore(invocation.deadline)
        && Arrays.stream(state.hosts.listed())
            .anyMatch(host -> acceptsNewWork(host) && mayAttempt(invocation, host));
  }

  /** Whether any host may be sent new work. */
  boolean anyHostAcceptsWork() {
    return Arrays.stream(state.hosts.listed()).anyMatch(this::acceptsNewWork);
  }

  /**
   * Rule 2: whether the invocation may be rejected, which tells the client that a retry is safe.
   */
  boolean mayReject(InvocationState invocation) {
    return switch (invocation.type.effect()) {
      case IDEMPOTENT -> true;
      case TOKENED ->
          invocation.type.group() == Group.ALL || invocation.firstThatMayHaveRun() == null;
      case NON_IDEMPOTENT -> invocation.firstThatMayHaveRun() == null;
    };
  }

  /**
   * Rule 3: a host that is draining or gone is sent no new work once this gateway counts as
   * notified. The lease is checked as well as the host list, because the list may be out of date.
   */
  boolean acceptsNewWork(Host host) {
    return host.isReady()
        && state.leases.permission(host.id(), state.now()) != SendPermission.REFUSED;
  }
}
