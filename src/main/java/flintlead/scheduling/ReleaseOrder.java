package flintlead.scheduling;

import flintlead.scheduling.state.CustomerQuotas;
import flintlead.scheduling.state.InvocationState;
import flintlead.scheduling.state.PendingQueue;
import flintlead.scheduling.state.SchedulerState;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Decides in which order queued invocations are sent, and how long an invocation may be queued. */
final class ReleaseOrder {

  /** Interval at which the queue is checked while it is not empty. */
  private static final Span POLL_INTERVAL = Span.ofMillis(20);

  /**
   * Factor applied to the priority of a client's retry, or of an invocation beyond its customer's
   * quota.
   */
  private static final double REDUCED_PRIORITY = 0.1;

  /**
   * Longest time in the queue, as a share of the latency objective or of the client's timeout,
   * whichever is shorter.
   */
  private static final double MAX_QUEUED_SHARE = 0.35;

  private final SchedulerState state;
  private final Placement placement;
  private final Predicate<InvocationState> schedule;
  private final Consumer<InvocationState> abandon;
  private final PendingQueue queue = new PendingQueue();
  private final CustomerQuotas quotas;
  private boolean polling;

  /**
   * Creates an empty queue.
   *
   * @param schedule sends an invocation if it can; returns whether it did
   * @param abandon gives an invocation that is not sent its final answer
   */
  ReleaseOrder(
      SchedulerState state,
      Placement placement,
      Predicate<InvocationState> schedule,
      Consumer<InvocationState> abandon) {
    this.state = state;
    this.placement = placement;
    this.schedule = schedule;
    this.abandon = abandon;
    this.quotas = new CustomerQuotas(state);
  }

  /**
   * Sets the invocation's priority and its longest time in the queue. A client's retry has a
   * reduced priority, because its latency objective has run since the first request.
   */
  void prioritize(InvocationState invocation, Moment now) {
    invocation.overQuota = !quotas.tryTake(invocation.spec.customer(), now);
    boolean reduced = invocation.overQuota || invocation.spec.clientRetry();
    invocation.priorityWeight = invocation.type.billedValue() * (reduced ? REDUCED_PRIORITY : 1);
    Span shorter = Span.shorter(invocation.type.latencyObjective(), invocation.spec.timeout());
    invocation.queueUntil = now.plus(shorter.times(MAX_QUEUED_SHARE));
  }

  /**
   * Returns the quota token of a rejected invocation, which does not count against its customer's
   * quota.
   */
  void refundQuota(InvocationState invocation) {
    if (!invocation.overQuota) {
      quotas.refund(invocation.spec.customer());
    }
  }

  void enqueue(InvocationState invocation) {
    if (!invocation.queued) {
      invocation.queued = true;
      queue.add(invocation);
    }
    if (!polling) {
      polling = true;
      state.context.schedule(state.now().plus(POLL_INTERVAL), this::poll);
    }
  }

  void dequeue(InvocationState invocation) {
    invocation.queued = false;
    queue.remove(invocation);
  }

  private void poll() {
    polling = false;
    releasePending();
  }

  /**
   * Abandons expired invocations, then sends the others by priority and age, as far as hosts have
   * capacity.
   */
  void releasePending() {
    if (!queue.isEmpty()) {
      abandonExpired();
      queue.visitInOrder(this::release);
    }
  }

  /**
   * Sends the invocation if it can; returns whether the next one of the same function should be
   * tried too.
   */
  private boolean release(InvocationState invocation) {
    boolean awaitsLoad = state.loadOrders.contains(invocation);
    boolean sent = !awaitsLoad && schedule.test(invocation);
    return sent || awaitsLoad || !invocation.attempts.isEmpty();
  }

  /**
   * Abandons invocations that not even a warm answer would serve in time, and those queued for too
   * long.
   */
  private void abandonExpired() {
    Moment now = state.now();
    for (InvocationState expired : queue.expired(now.plus(placement.warmResponseTime()), now)) {
      if (!state.loadOrders.contains(expired)) {
        abandon.accept(expired);
      }
    }
  }
}
