package flintlead.platform;

import flintlead.platform.upstream.ConnectionPools;
import flintlead.platform.upstream.ResponseFields;
import flintlead.routing.guard.InvocationGuard;
import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.api.TriggerType;
import flintlead.time.Moment;
import flintlead.transport.loop.EventExecutor;
import io.netty.buffer.ByteBuf;
import java.util.List;

/**
 * Starts the attempts that the scheduler requests, ends them at their time limit, and reports their
 * outcomes to the scheduler and the client. Used on the event loop only.
 */
final class AttemptRunner {

  private final EventExecutor loop;
  private final ConnectionPools pools;
  private final Deployment deployment;
  private final InvocationRegistry registry;
  private final TrafficCounters counters;
  private final HostFeedback feedback;
  private final InvocationGuard guard;

  AttemptRunner(
      EventExecutor loop,
      ConnectionPools pools,
      Deployment deployment,
      InvocationRegistry registry,
      TrafficCounters counters,
      HostFeedback feedback,
      InvocationGuard guard) {
    this.loop = loop;
    this.pools = pools;
    this.deployment = deployment;
    this.registry = registry;
    this.counters = counters;
    this.feedback = feedback;
    this.guard = guard;
  }

  /** The guard that decides whether an attempt may be sent. */
  InvocationGuard guard() {
    return guard;
  }

  TriggerType type(PendingInvocation invocation) {
    return deployment.triggerTypes().get(invocation.triggerType());
  }

  /** Starts the next attempt of the invocation. The outcome is never delivered within this call. */
  void start(PendingInvocation invocation, long host, Moment abandonAt) {
    List<HostAttempt> attempts = invocation.attempts();
    HostAttempt previous = attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
    HostAttempt attempt =
        new HostAttempt(this, invocation, previous, pools.get(host), loop.now(), abandonAt);
    attempts.add(attempt);
    invocation.record().addEvent(loop.now(), "attempt " + attempt.number() + " at host " + host);
    if (!attempt.hasHost()) {
      endLater(attempt, Outcome.CONNECT_FAILED);
      return;
    }
    attempt.addTimer(loop.scheduleAt(abandonAt, () -> withdraw(attempt, Outcome.TIMEOUT)));
    TriggerType type = type(invocation);
    if (previous != null && type.effect() == TriggerType.Effect.TOKENED) {
      // A retry that is still queued when hosts forget the key ends then. The timer alone does not
      // suffice: after a stall it is as late as what it is to prevent.
      Moment windowEnd = attempts.get(0).startedAt().plus(type.window());
      attempt.setKeyExpiry(windowEnd);
      attempt.addTimer(loop.scheduleAt(windowEnd, attempt::withdrawIfQueued));
    }
    attempt.start();
  }

  /** Cancels an attempt that the scheduler no longer needs. */
  void cancel(PendingInvocation invocation, int number) {
    withdraw(invocation.attempts().get(number), Outcome.CANCELLED);
  }

  /**
   * Ends an attempt early. An attempt that was never sent cannot have run, so it ends as {@code
   * WITHDRAWN} whatever the reason for ending it is.
   */
  private void withdraw(HostAttempt attempt, Outcome outcomeIfSent) {
    if (!attempt.hasOutcome()) {
      endLater(attempt, attempt.withdraw() ? Outcome.WITHDRAWN : outcomeIfSent);
    }
  }

  private void endLater(HostAttempt attempt, Outcome outcome) {
    loop.scheduleAt(loop.now(), () -> ended(attempt, outcome, ResponseFields.NONE, null));
  }

  /** Called when an attempt of the invocation was written to a socket. */
  void sent(PendingInvocation invocation) {
    if (type(invocation).effect() != TriggerType.Effect.IDEMPOTENT) {
      registry.recordSent(invocation);
    }
  }

  /** Milliseconds until the given time, at least 1, in the form that is sent to hosts. */
  long remainingMillis(Moment until) {
    return Math.max(1, until.since(loop.polls().readClock()).micros() / 1000);
  }

  /**
   * Called when an attempt has ended; has no effect if it had ended before.
   *
   * @param body body of the response; null if there is no response
   */
  void ended(HostAttempt attempt, Outcome outcome, ResponseFields fields, ByteBuf body) {
    if (!attempt.finish(outcome)) {
      return;
    }
    counters.attemptEnded(outcome);
    PendingInvocation invocation = attempt.invocation();
    invocation.record().addEvent(loop.now(), "attempt " + attempt.number() + " ended " + outcome);
    if (outcome == Outcome.OK && registry.isOpen(invocation)) {
      registry.respond(invocation, "succeeded", client -> client.succeeded(body));
    }
    try {
      reportToScheduler(attempt, outcome, fields);
    } finally {
      registry.releaseIfFinished(invocation);
    }
  }

  private void reportToScheduler(HostAttempt attempt, Outcome outcome, ResponseFields fields) {
    PendingInvocation invocation = attempt.invocation();
    if (invocation.handle() != null) {
      invocation
          .handle()
          .attemptEnded(
              attempt.number(),
              outcome,
              loop.now().since(attempt.startedAt()),
              !registry.isOpen(invocation),
              feedback.remark(outcome, fields),
              feedback.loadReport(fields));
    }
  }
}
