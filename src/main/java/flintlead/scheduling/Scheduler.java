package flintlead.scheduling;

import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.api.InvocationHandle;
import flintlead.scheduling.api.InvocationSpec;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.api.SchedulerContext;
import flintlead.scheduling.api.SchedulingPolicy;
import flintlead.scheduling.api.TriggerType.Effect;
import flintlead.scheduling.state.Attempt;
import flintlead.scheduling.state.Host;
import flintlead.scheduling.state.InvocationListener;
import flintlead.scheduling.state.InvocationState;
import flintlead.scheduling.state.SchedulerState;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.List;

/**
 * Schedules the invocations of one gateway on hosts, from submission through attempts and retries
 * to the final answer. The decisions on the way are made by the other classes of this package.
 *
 * <p>Not thread-safe: calls must come one at a time.
 */
public final class Scheduler implements SchedulingPolicy, InvocationListener {

  /** As in the paper: the most load orders after a miss that one gateway may have in flight. */
  private static final int MAX_MISS_LOAD_ORDERS = 2;

  /** Retry-After of a rejected invocation while some host accepts work. */
  private static final Span RETRY_AFTER = Span.ofMillis(150);

  /**
   * Retry-After while no host accepts work, which only a change in the state of the hosts can end.
   */
  private static final Span RETRY_AFTER_WITHOUT_HOSTS = Span.ofMillis(1_000);

  private final SchedulerContext context;
  private final Deployment deployment;
  private final SchedulerState state;
  private final AttemptRules rules;
  private final HostHealth health;
  private final CapacityLimits capacity;
  private final Placement placement;
  private final ReleaseOrder releaseOrder;

  /** Creates the scheduler of one gateway; {@code seed} determines all random choices. */
  public Scheduler(SchedulerContext context, Deployment deployment, long seed) {
    this.context = context;
    this.deployment = deployment;
    this.state = new SchedulerState(context, deployment, seed);
    this.rules = new AttemptRules(state);
    this.health = new HostHealth(state);
    this.capacity = new CapacityLimits(state);
    this.placement = new Placement(state, rules, health, capacity);
    this.releaseOrder = new ReleaseOrder(state, placement, this::schedule, this::abandon);
    if (deployment.requiresHostSubscription()) {
      context.subscribeHosts(true);
    }
  }

  @Override
  public InvocationHandle submit(long id, InvocationSpec spec) {
    Moment now = context.now();
    capacity.recordArrival(now);
    InvocationState invocation = state.newInvocation(id, spec, this);
    releaseOrder.prioritize(invocation, now);
    // Rule 1: one timer covers the whole invocation, so that it is also answered in time while it
    // is queued or retried.
    Moment answerAt = Moment.later(now, invocation.deadline.minus(rules.deadlineMargin));
    invocation.cancelTimer = context.schedule(answerAt, invocation::abandon);
    schedule(invocation);
    return invocation;
  }

  /** Sends the invocation or queues it; returns whether it was sent. */
  private boolean schedule(InvocationState invocation) {
    Host host = placement.warmHost(invocation);
    boolean warm = host != null;
    if (!warm && !placement.isSlotFreeSoon(invocation)) {
      host = placement.hostForLoad(invocation);
    }
    if (host == null) {
      releaseOrder.enqueue(invocation);
      return false;
    }
    if (!warm && placement.isWarmSomewhere(invocation)) {
      capacity.recordSpill();
    }
    send(invocation, host, warm);
    return true;
  }

  private void send(InvocationState invocation, Host host, boolean warm) {
    releaseOrder.dequeue(invocation);
    Attempt attempt = state.newAttempt(invocation, host, warm);
    capacity.recordAttempt(attempt);
    context.dispatch(invocation.id, host.id(), invocation.deadline);
    Span loadTime = warm ? Span.ZERO : Placement.maxLoadTime(invocation);
    checkSilenceAfter(attempt, Span.longer(HostHealth.silenceTimeout(invocation), loadTime));
  }

  private void checkSilenceAfter(Attempt attempt, Span delay) {
    Moment then = context.now().plus(delay);
    attempt.cancelSilenceCheck = context.schedule(then, () -> checkSilence(attempt));
  }

  private void checkSilence(Attempt attempt) {
    if (attempt.outcome != null) {
      return;
    }
    if (attempt.hostSilent()) {
      state.stopCountingLoad(attempt);
      if (!health.ejectIfSilent(attempt.host)) {
        checkSilenceAfter(attempt, HostHealth.silenceTimeout(attempt.invocation));
      }
    }
    if (!attempt.invocation.settled && attempt.host.consecutiveEjections > 0) {
      hedgeOrCancel(attempt);
    }
  }

  /**
   * Moves an invocation off a silent host, by a hedged attempt or by cancelling the attempt there,
   * as far as rule 2 allows.
   */
  private void hedgeOrCancel(Attempt attempt) {
    InvocationState invocation = attempt.invocation;
    if (invocation.attemptsInFlight > 1 || rules.attemptsExhausted(invocation)) {
      return;
    }
    if (deployment.supportsHedging()) {
      if (!schedule(invocation)) {
        releaseOrder.dequeue(invocation);
      }
    } else if (deployment.supportsCancellation()
        && invocation.type.effect() != Effect.NON_IDEMPOTENT) {
      context.cancel(invocation.id, attempt.number);
    }
  }

  @Override
  public void attemptEnded(Attempt attempt, boolean answered) {
    InvocationState invocation = attempt.invocation;
    if (attempt.outcome == Outcome.CONNECTION_LOST) {
      // Only the connection broke and the host is alive, so it may be tried again. Otherwise the
      // loss of one of a host's three addresses would exclude the whole host.
      invocation.retryableHost = attempt.host;
    }
    recordOutcome(attempt);
    if (answered) {
      settle(invocation);
    }
    if (!invocation.settled && invocation.attemptsInFlight == 0 && !orderLoadAfterMiss(attempt)) {
      if (rules.mayRetry(invocation)) {
        schedule(invocation);
      } else {
        abandon(invocation);
      }
    }
    releaseOrder.releasePending();
  }

  /** Updates the state of the host, and of the function on it, from the outcome of an attempt. */
  private void recordOutcome(Attempt attempt) {
    Host host = attempt.host;
    state.attemptEnded(attempt);
    capacity.adjustLoadLimit(attempt);
    placement.recordConcurrency(attempt);
    if (attempt.outcome.isAnswer()) {
      host.recordAnswer(context.now());
    }
    switch (attempt.outcome) {
      case OK -> {
        health.recordSuccess(host);
        capacity.recordSuccess();
        placement.recordSuccess(attempt);
        capacity.adjustConcurrencyLimit(attempt);
      }
      case FULL -> capacity.recordFull(host);
      case MISS -> attempt.estimate.instances = 0;
      case ERROR -> {
        if (attempt.remark.loadFailed()) {
          attempt.estimate.instances = 0;
        } else {
          health.recordFailure(host);
        }
      }
      case CONNECT_FAILED, RESET -> {
        health.recordFailure(host);
        health.eject(host);
      }
      case TIMEOUT -> {
        if (attempt.hostSilent()) {
          health.recordFailure(host);
        }
      }
      default -> {}
    }
  }

  /**
   * As in the paper: after a miss, queues the invocation and orders one instance at the host. The
   * invocation is sent there once the instance is loaded, and to another host if the load fails.
   * Returns false if no load may be ordered.
   */
  private boolean orderLoadAfterMiss(Attempt attempt) {
    InvocationState invocation = attempt.invocation;
    Host host = attempt.host;
    long function = invocation.function.id;
    if (attempt.outcome != Outcome.MISS
        || deployment.hostLoadsOnMiss()
        || state.loadOrders.size() >= MAX_MISS_LOAD_ORDERS
        || !capacity.mayOrderLoad()
        || !rules.acceptsNewWork(host)
        || state.loadOrders.find(host, function) != null
        || rules.attemptsExhausted(invocation)) {
      return false;
    }
    state.loadOrders.add(invocation, host);
    capacity.recordLoadOrder();
    context.load(host.id(), function, 1);
    releaseOrder.enqueue(invocation);
    return true;
  }

  /**
   * Gives the final answer at once: rejected if a retry by the client is safe, otherwise failed.
   */
  @Override
  public void abandon(InvocationState invocation) {
    if (invocation.settled) {
      return;
    }
    boolean retryIsSafe = rules.mayReject(invocation);
    settle(invocation);
    if (retryIsSafe) {
      releaseOrder.refundQuota(invocation);
      Span retryAfter = rules.anyHostAcceptsWork() ? RETRY_AFTER : RETRY_AFTER_WITHOUT_HOSTS;
      context.throttle(invocation.id, deployment.boundRetryAfter(retryAfter));
    } else {
      context.fail(invocation.id);
    }
  }

  /** Ends scheduling of the invocation; cancels attempts in flight where hosts support it. */
  private void settle(InvocationState invocation) {
    invocation.settled = true;
    releaseOrder.dequeue(invocation);
    invocation.cancelTimer.run();
    for (Attempt attempt : invocation.attempts) {
      if (attempt.outcome == null && deployment.supportsCancellation()) {
        context.cancel(invocation.id, attempt.number);
      }
    }
  }

  @Override
  public void responseStarted(Attempt attempt) {
    // A streamed response is already on its way to the client, so the invocation needs no further
    // scheduling. Its outcome is reported later.
    attempt.invocation.settled = true;
    releaseOrder.dequeue(attempt.invocation);
    attempt.host.recordAnswer(context.now());
  }

  @Override
  public void clientDisconnected(InvocationState invocation) {
    if (!invocation.settled) {
      settle(invocation);
      releaseOrder.releasePending();
    }
  }

  @Override
  public void replaceHosts(List<HostEntry> entries) {
    state.hosts.unlistAll();
    updateHosts(entries);
  }

  @Override
  public void updateHosts(List<HostEntry> entries) {
    state.hosts.update(entries, this::resetHost, state.loadOrders::hasOrderAt);
    releaseOrder.releasePending();
  }

  /**
   * Resets the health and the limits of a host that is new, or whose process restarted under the
   * same id: nothing known of the previous process applies to it, and no function is loaded.
   */
  private void resetHost(Host host) {
    health.reset(host);
    capacity.reset(host);
  }

  @Override
  public void hostListUnavailable() {
    if (deployment.requiresHostSubscription()) {
      Moment next = context.now().plus(CapacityLimits.FULL_BACKOFF);
      context.schedule(next, () -> context.subscribeHosts(true));
    }
  }

  @Override
  public void loadCompleted(
      long hostId, long function, Outcome outcome, Span elapsed, int instances) {
    Host host = state.hosts.find(hostId);
    if (host == null) {
      return;
    }
    if (outcome == Outcome.OK) {
      placement.recordLoad(function, host, Math.max(1, instances));
    } else if (outcome == Outcome.FULL) {
      capacity.pauseLoads(host);
    }
    state.loadOrders.end(host, function, outcome == Outcome.OK);
    releaseOrder.releasePending();
  }

  @Override
  public void gossipReceived(int peer, byte[] message) {
    placement.mergeGossip(message);
  }

  /**
   * More gateways than configured make the share of each smaller. Fewer do not make it larger,
   * because the missing ones may still be running.
   */
  @Override
  public void gatewayCountChanged(int count) {
    state.gateways = Math.max(Math.max(1, deployment.gateways()), count);
  }

  @Override
  public void mergeObservation(long host, long function, int instances, Span age) {
    placement.mergeObservation(host, function, instances, age);
  }

  @Override
  public void exportObservations(ObservationConsumer consumer) {
    state.exportObservations(consumer);
  }
}
