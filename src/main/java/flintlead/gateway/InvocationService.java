package flintlead.gateway;

import flintlead.gateway.upstream.ExchangeResult;
import flintlead.routing.admission.AdmissionController;
import flintlead.routing.guard.InvocationGuard;
import flintlead.routing.guard.InvocationRecord;
import flintlead.routing.pending.PendingResponses;
import flintlead.routing.pool.PoolAssignment;
import flintlead.routing.pool.PoolRouter;
import flintlead.scheduling.api.InvocationHandle;
import flintlead.scheduling.api.InvocationSpec;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.api.SchedulingPolicy;
import flintlead.scheduling.api.TriggerType;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The invocations of one gateway: admits them, gives each its one final response, and forgets it
 * once its last attempt has ended. Decides nothing about an invocation that was accepted. Used on
 * the gateway's event loop only.
 */
final class InvocationService implements InvocationAttempt.Listener {

  /** Returned instead of a number for an invocation that was rejected. */
  static final long REJECTED = -1;

  /** Retry-After while the gateway stops: the client is to find another gateway, or a new one. */
  private static final Span STOPPING_RETRY_AFTER = Span.ofMillis(500);

  private static final String STOPPING = PendingInvocation.STOPPING;

  private final GatewayConfig config;
  private final EventTimers timers;
  private final InvocationValidator validator;
  private final AdmissionController admission;
  private final PoolRouter router;
  private final PendingResponses<InvocationResponse> responses;
  private final Counters counters;
  private final HostReportDecoder reports;
  private final SchedulingPolicy scheduler;
  private final InvocationGuard guard;
  private final Events events;
  private final String tokenPrefix;
  private final UsedTokens usedTokens;
  private final Map<Long, PendingInvocation> invocations = new HashMap<>();
  private long nextId;
  private boolean stopping;
  private Runnable whenDrained;

  /** What the rest of the gateway has to hear. */
  interface Events {

    /** An invocation is about to be handed to the scheduler. */
    void invocationAccepted();

    /** The last invocation of an older layout has ended: hosts may belong to fewer pools now. */
    void poolsReleased();
  }

  /**
   * What the service works with.
   *
   * @param tokenPrefix of the tokens made for invocations that bring none; differs in each process
   */
  record Parts(
      GatewayConfig config,
      EventTimers timers,
      InvocationValidator validator,
      AdmissionController admission,
      PoolRouter router,
      PendingResponses<InvocationResponse> responses,
      Counters counters,
      SchedulingPolicy scheduler,
      InvocationGuard guard,
      UsedTokens usedTokens,
      String tokenPrefix) {}

  InvocationService(Parts parts, Events events) {
    this.config = parts.config;
    this.timers = parts.timers;
    this.validator = parts.validator;
    this.admission = parts.admission;
    this.router = parts.router;
    this.responses = parts.responses;
    this.counters = parts.counters;
    this.scheduler = parts.scheduler;
    this.guard = parts.guard;
    this.usedTokens = parts.usedTokens;
    this.tokenPrefix = parts.tokenPrefix;
    this.reports = new HostReportDecoder(config.hosts());
    this.events = events;
  }

  // ---- acceptance ----

  /**
   * Accepts the invocation, or rejects it with a throttled response.
   *
   * @param client what is known of its client
   * @param reply hears the one final response, perhaps within this call
   * @return its number, or {@link #REJECTED}
   * @throws InvalidInvocationException if the request is invalid; then there is no response
   */
  long submit(
      InvocationRequest request,
      AdmissionController.Source source,
      ClientView client,
      Consumer<InvocationResponse> reply)
      throws InvalidInvocationException {
    InvocationValidator.Resolved resolved = validator.resolve(request);
    if (stopping) {
      return reject(reply, STOPPING);
    }
    GatewayConfig.Trigger trigger = config.triggerTypes().get(resolved.triggerType());
    Span timeout = request.timeout() == null ? trigger.clientTimeout() : request.timeout();
    InvocationRecord record = guard.begin(Long.toString(nextId), client.earliestArrival(), timeout);
    if (guard.isExpired(record, timers.loop().polls().readClock())) {
      return reject(reply, "its client's time was up before it was read");
    }
    if (usedTokens.contains(request, trigger)) {
      counters.rejected++;
      reply.accept(
          InvocationResponse.errored(true, 0, "its token belongs to one that may have run"));
      return REJECTED;
    }
    if (!admission.tryAdmit(source, request.bytes())) {
      return reject(reply, "the gateway has as many invocations as it takes");
    }
    PoolAssignment assignment =
        router.assign(InvocationMapping.routeRequest(request, trigger), timers.now());
    if (assignment == null) {
      admission.release(source, request.bytes());
      return reject(reply, "its pool has as many invocations as it takes");
    }
    PendingInvocation invocation = create(request, trigger, record, client, source, assignment);
    invocations.put(invocation.id(), invocation);
    usedTokens.add(request, trigger);
    responses.register(
        invocation.id(),
        invocation.deadline(),
        response -> respond(invocation, trigger, timeout, response, reply));
    events.invocationAccepted();
    schedule(invocation, InvocationMapping.spec(invocation, resolved, timers.now()));
    forgetIfFinished(invocation);
    return invocation.id();
  }

  /** Where the scheduler fails, nobody else would answer the invocation. */
  private void schedule(PendingInvocation invocation, InvocationSpec spec) {
    try {
      invocation.handle(scheduler.submit(invocation.id(), spec));
    } catch (RuntimeException e) {
      guard.reportFailure(invocation.record(), e);
      if (responses.isPending(invocation.id())) {
        fail(invocation, "a fault in the gateway");
      }
    }
  }

  private long reject(Consumer<InvocationResponse> reply, String reason) {
    counters.rejected++;
    reply.accept(
        InvocationResponse.throttled(
            stopping ? STOPPING_RETRY_AFTER : admission.retryAfter(), 0, reason));
    return REJECTED;
  }

  private PendingInvocation create(
      InvocationRequest request,
      GatewayConfig.Trigger trigger,
      InvocationRecord record,
      ClientView client,
      AdmissionController.Source source,
      PoolAssignment assignment) {
    long id = nextId++;
    // Without a client's token the hosts still have to know a retry that this gateway sends.
    String token = request.token() == null ? tokenPrefix + id : request.token();
    return new PendingInvocation(
        id,
        request,
        token,
        config.footprint(request.function(), trigger),
        trigger.effect() == TriggerType.Effect.IDEMPOTENT,
        InvocationMapping.hasToken(trigger) ? trigger.window() : Span.ZERO,
        record,
        client,
        source,
        assignment);
  }

  // ---- responses ----

  /** Lets a final response out; called by the pending responses, once for each invocation. */
  private void respond(
      PendingInvocation invocation,
      GatewayConfig.Trigger trigger,
      Span timeout,
      InvocationResponse response,
      Consumer<InvocationResponse> reply) {
    admission.release(invocation.source(), invocation.request().bytes());
    Moment acceptedAt = invocation.deadline().minus(timeout);
    double relativeLatency = timers.now().since(acceptedAt).ratioTo(trigger.latencyObjective());
    releasePool(
        invocation,
        InvocationMapping.poolOutcome(invocation, response, relativeLatency),
        relativeLatency);
    counters.count(response);
    reply.accept(response);
  }

  private void releasePool(
      PendingInvocation invocation, PoolRouter.InvocationResult end, double relativeLatency) {
    router.release(invocation.poolAssignment(), end, relativeLatency, timers.now());
    if (router.pollMembershipChanged()) {
      timers.loop().scheduleAt(timers.now(), events::poolsReleased);
    }
  }

  private void complete(PendingInvocation invocation, InvocationResponse response) {
    if (!guard.markAnswered(invocation.record())) {
      return;
    }
    responses.complete(invocation.id(), response);
    runIfDrained();
  }

  private void fail(PendingInvocation invocation, String reason) {
    complete(
        invocation,
        InvocationResponse.errored(invocation.mayHaveRun(), invocation.attempts().size(), reason));
  }

  private void forgetIfFinished(PendingInvocation invocation) {
    if ((invocation.handle() == null || invocation.handle().isFinished())
        && !responses.isPending(invocation.id())) {
      invocations.remove(invocation.id());
      usedTokens.ended(invocation);
      invocation.forgotten();
    }
  }

  /** The scheduler gives up an invocation of which nothing can have run. */
  void throttle(long id, Span retryAfter) {
    PendingInvocation invocation = invocations.get(id);
    complete(
        invocation,
        InvocationResponse.throttled(
            retryAfter,
            invocation.attempts().size(),
            invocation.isAbandoned() ? STOPPING : "no host has room in time"));
    forgetIfFinished(invocation);
  }

  /** The scheduler gives up an invocation that may have run. */
  void fail(long id) {
    PendingInvocation invocation = invocations.get(id);
    fail(invocation, invocation.failureReason(timers.now()));
    forgetIfFinished(invocation);
  }

  @Override
  public void attemptEnded(InvocationAttempt attempt, ExchangeResult result) {
    if (!attempt.isInProgress()) {
      return;
    }
    Outcome outcome = result.outcome();
    attempt.complete(outcome);
    counters.attemptEnded(outcome);
    PendingInvocation invocation = attempt.invocation();
    boolean open = responses.isPending(invocation.id());
    if (outcome == Outcome.OK && open) {
      complete(
          invocation,
          InvocationResponse.succeeded(
              result.members().json("payload"), attempt.hostName(), invocation.attempts().size()));
      open = false;
    } else if (outcome != Outcome.OK) {
      invocation.lastFailure(result.reason());
    }
    boolean answered = !open;
    invocation.withHandle(
        handle ->
            handle.attemptEnded(
                attempt.number(),
                outcome,
                timers.now().since(attempt.startedAt()),
                answered,
                reports.remark(result),
                reports.report(result)));
    forgetIfFinished(invocation);
  }

  // ---- the client ----

  /** The client has left: there is no response; attempts are cancelled. */
  void clientDisconnected(long id) {
    if (responses.discard(id)) {
      PendingInvocation invocation = invocations.get(id);
      guard.markClientGone(invocation.record());
      admission.release(invocation.source(), invocation.request().bytes());
      releasePool(invocation, PoolRouter.InvocationResult.UNKNOWN, 0);
      counters.clientDisconnects++;
      invocation.withHandle(InvocationHandle::clientDisconnected);
      forgetIfFinished(invocation);
      runIfDrained();
    }
  }

  /** The client cancels: the response says so. Returns false if there was a response before. */
  boolean cancel(long id) {
    PendingInvocation invocation = invocations.get(id);
    if (invocation == null || !responses.isPending(id)) {
      return false;
    }
    releasePool(invocation, PoolRouter.InvocationResult.UNKNOWN, 0);
    fail(invocation, "cancelled by the client");
    invocation.withHandle(InvocationHandle::clientDisconnected);
    forgetIfFinished(invocation);
    return true;
  }

  // ---- bookkeeping ----

  /** Decides whether attempts may leave. */
  InvocationGuard guard() {
    return guard;
  }

  /** The invocation of that number; null if it is forgotten. */
  PendingInvocation find(long id) {
    return invocations.get(id);
  }

  /** All invocations, with those that have their response and attempts still out. */
  Collection<PendingInvocation> all() {
    return invocations.values();
  }

  /** Fails every invocation whose time is up and that the scheduler has not answered. */
  void failOverdue(Moment asOf) {
    for (long id : responses.expired(asOf)) {
      PendingInvocation invocation = invocations.get(id);
      guard.reportOverdue(invocation.record(), asOf);
      fail(invocation, PendingInvocation.DEADLINE_PASSED);
      invocation.withHandle(InvocationHandle::clientDisconnected);
      forgetIfFinished(invocation);
    }
  }

  // ---- shutdown ----

  /** Accepts nothing more; runs the task, as an event of its own, once all have their response. */
  void stopAccepting(Runnable task) {
    stopping = true;
    whenDrained = task;
    runIfDrained();
  }

  private void runIfDrained() {
    if (whenDrained != null && responses.size() == 0) {
      Runnable task = whenDrained;
      whenDrained = null;
      timers.loop().scheduleAt(timers.now(), task);
    }
  }

  /**
   * Has the scheduler respond at once to all that are open: throttled if that is harmless, else
   * errored.
   *
   * @return how many were open
   */
  int abandonAll() {
    List<Long> open = responses.pendingInvocations();
    for (long id : open) {
      PendingInvocation invocation = invocations.get(id);
      if (invocation != null && responses.isPending(id)) {
        invocation.markAbandoned();
        invocation.withHandle(InvocationHandle::abandon);
        forgetIfFinished(invocation);
      }
    }
    return open.size();
  }
}
