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

/** Which attempts an invocation may make: rules 2 (no effect twice) and 3 (draining hosts). */
final class AttemptRules {

  /** Clock ticks kept clear before a deadline or the end of an idempotency key's window. */
  private static final int DEADLINE_MARGIN_TICKS = 2;

  /** Time to keep clear before a deadline. */
  final Span margin;

  private final SchedulerState state;

  /** Attempts allowed, by trigger type. */
  private final int[] attemptLimits;

  AttemptRules(SchedulerState state) {
    this.state = state;
    this.margin = state.deployment.tick().times(DEADLINE_MARGIN_TICKS);
    this.attemptLimits =
        state.deployment.triggerTypes().stream().mapToInt(this::attemptLimit).toArray();
  }

  /** The operators' wish: retries go by billed value, relative to the largest of all types. */
  private int attemptLimit(TriggerType type) {
    int most = Math.max(1, state.deployment.attemptLimit());
    double highest = state.deployment.highestBilledValue();
    if (highest <= 0) {
      return most;
    }
    return Math.min(most, 1 + (int) Math.ceil((most - 1) * type.billedValue() / highest));
  }

  /** An attempt that never left for want of a lease does not count: each host has one at most. */
  boolean attemptsExhausted(InvocationState invocation) {
    long sent =
        invocation.attempts.stream().filter(attempt -> attempt.outcome != Outcome.UNPROVEN).count();
    return sent >= attemptLimits[invocation.spec.triggerType()];
  }

  /** Rule 2: whether another attempt of this invocation may go to that host now. */
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
    // Behind an address whose connections broke may live a process of another group by now.
    if (invocation.type.group() != Group.ALL && (isInDoubt(first.host) || isInDoubt(host))) {
      return false;
    }
    Moment windowEnd = first.sentAt.plus(invocation.type.window());
    return invocation.type.group().covers(first.host.entry, host.entry)
        && state.now().plus(margin).isBefore(windowEnd);
  }

  private boolean isInDoubt(Host host) {
    return !state.leases.isIdentityKnown(host.id(), state.now());
  }

  /** Whether time is left for another attempt, and some host may take it. */
  boolean mayRetry(InvocationState invocation) {
    return !attemptsExhausted(invocation)
        && state.now().plus(margin).isBefore(invocation.deadline)
        && Arrays.stream(state.hosts.listed())
            .anyMatch(host -> acceptsNewWork(host) && mayAttempt(invocation, host));
  }

  /** Whether any host may be sent new work. */
  boolean anyHostAcceptsWork() {
    return Arrays.stream(state.hosts.listed()).anyMatch(this::acceptsNewWork);
  }

  /** Rule 2: whether the client may be told that a retry is harmless. */
  boolean mayReject(InvocationState invocation) {
    return switch (invocation.type.effect()) {
      case IDEMPOTENT -> true;
      case TOKENED ->
          invocation.type.group() == Group.ALL || invocation.firstThatMayHaveRun() == null;
      case NON_IDEMPOTENT -> invocation.firstThatMayHaveRun() == null;
    };
  }

  /**
   * Rule 3: nothing new to a host that drains or is gone, once this gateway counts as notified. The
   * list alone does not tell: it may be out of date.
   */
  boolean acceptsNewWork(Host host) {
    return host.isReady()
        && state.leases.permission(host.id(), state.now()) != SendPermission.REFUSED;
  }
}
