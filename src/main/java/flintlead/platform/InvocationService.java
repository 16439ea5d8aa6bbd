package flintlead.platform;

import flintlead.platform.downstream.CloseCause;
import flintlead.platform.downstream.InvocationHandler;
import flintlead.routing.admission.AdmissionController;
import flintlead.routing.guard.InvocationGuard;
import flintlead.routing.guard.InvocationRecord;
import flintlead.scheduling.api.SchedulingPolicy;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.IsolatedLoop;
import flintlead.transport.loop.RepeatingTask;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.List;
import org.slf4j.Logger;

/**
 * Submits clients' invocations to the scheduler and ensures that each gets its response in time.
 * Used on the event loop only.
 */
final class InvocationService implements InvocationHandler {

  private static final Span OVERDUE_CHECK_INTERVAL = Span.ofMillis(50);

  private final EventExecutor loop;
  private final InvocationRegistry registry;
  private final InvocationGuard guard;
  private final SchedulingPolicy scheduler;
  private final TrafficCounters counters;
  private final List<String> triggerTypeNames;
  private final Logger log;
  private boolean stopping;

  /**
   * Creates a service; {@link #startOverdueChecks} starts its checks for overdue invocations.
   *
   * @param triggerTypeNames names of the trigger types in the host protocol, by index
   * @param log receives {@code invocation_rejected} at DEBUG, and {@code invocation_failed}
   */
  InvocationService(
      EventExecutor loop,
      InvocationRegistry registry,
      InvocationGuard guard,
      SchedulingPolicy scheduler,
      TrafficCounters counters,
      List<String> triggerTypeNames,
      Logger log) {
    this.loop = loop;
    this.registry = registry;
    this.guard = guard;
    this.scheduler = scheduler;
    this.counters = counters;
    this.triggerTypeNames = triggerTypeNames;
    this.log = log;
  }

  @Override
  public boolean isRepeat(Invocation invocation) {
    return registry.contains(invocation.id()) || registry.mayHaveRun(invocation.id());
  }

  @Override
  public Span retryAfter() {
    return registry.retryAfter();
  }

  @Override
  public void submit(
      Invocation request, ByteBuf body, Moment earliestArrival, ResponseCallback client) {
    InvocationRecord record =
        guard.begin(request.idText(), earliestArrival, request.spec().timeout());
    AdmissionController.Source source = new AdmissionController.Source();
    if (stopping) {
      reject(record, RejectReason.STOPPING, client);
    } else if (guard.isExpired(record, loop.polls().readClock())) {
      reject(record, RejectReason.EXPIRED_ON_ARRIVAL, client);
    } else if (!registry.admit(source, body.readableBytes())) {
      reject(record, RejectReason.ADMISSION_BOUND, client);
    } else {
      String triggerTypeName = triggerTypeNames.get(request.spec().triggerType());
      accept(
          new PendingInvocation(
              request, triggerTypeName, ByteBufUtil.getBytes(body), client, record),
          source);
    }
  }

  private void reject(InvocationRecord record, RejectReason reason, ResponseCallback client) {
    counters.rejected(reason);
    log.atDebug()
        .addKeyValue("id", record.id())
        .addKeyValue("reason", reason.key())
        .log("invocation_rejected");
    if (guard.markAnswered(record)) {
      client.throttled(retryAfter());
    }
  }

  private void accept(PendingInvocation invocation, AdmissionController.Source source) {
    counters.submitted();
    registry.add(invocation, source);
    try {
      invocation.setHandle(scheduler.submit(invocation.id(), invocation.spec(loop.now())));
    } catch (RuntimeException e) {
      // The scheduler may have registered the invocation only in part or not at all: nothing else
      // would respond to it.
      fail(invocation, e);
    }
    registry.releaseIfFinished(invocation);
  }

  private void fail(PendingInvocation invocation, RuntimeException cause) {
    guard.reportFailure(invocation.record(), cause);
    log.atError().addKeyValue("id", invocation.idText()).setCause(cause).log("invocation_failed");
    if (registry.isOpen(invocation)) {
      registry.respond(invocation, "failed", ResponseCallback::errored);
    }
  }

  @Override
  public void clientDisconnected(long id) {
    PendingInvocation invocation = registry.find(id);
    if (invocation != null && registry.isOpen(invocation)) {
      registry.discardResponse(invocation);
      counters.clientDisconnected();
      if (invocation.handle() != null) {
        invocation.handle().clientDisconnected();
      }
      registry.releaseIfFinished(invocation);
    }
  }

  @Override
  public void closedUnanswered(long id, CloseCause cause) {
    PendingInvocation invocation = registry.find(id);
    if (invocation != null && registry.isOpen(invocation)) {
      guard.reportClosedUnanswered(invocation.record(), cause.key());
    }
  }

  /**
   * Sends every invocation without a response its final response now. Later invocations are
   * rejected immediately.
   */
  void abandonAll() {
    stopping = true;
    abandon(registry.openInvocations());
  }

  private void abandon(List<Long> ids) {
    IsolatedLoop.forEach(
        ids, this::abandon, cause -> log.atError().setCause(cause).log("invocation_failed"));
  }

  private void abandon(long id) {
    PendingInvocation invocation = registry.find(id);
    if (invocation == null) {
      return;
    }
    try {
      if (invocation.handle() != null) {
        invocation.handle().abandon();
      }
    } finally {
      if (registry.isOpen(invocation)) {
        registry.respond(invocation, "abandoned", ResponseCallback::errored);
      }
      registry.releaseIfFinished(invocation);
    }
  }

  /**
   * Starts the periodic check for overdue invocations. It ensures that each invocation gets a
   * response once its time is up, whatever fails elsewhere.
   */
  void startOverdueChecks() {
    // The check looks for invocations overdue as of now, but runs after all timers due by now:
    // what those timers answer is not overdue.
    RepeatingTask.start(loop, OVERDUE_CHECK_INTERVAL, () -> scheduleOverdueCheck(loop.now()));
  }

  private void scheduleOverdueCheck(Moment asOf) {
    loop.scheduleAt(asOf, () -> abandon(registry.overdue(asOf)));
  }
}
