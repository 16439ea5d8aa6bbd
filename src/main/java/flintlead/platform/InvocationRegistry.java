package flintlead.platform;

import flintlead.platform.downstream.InvocationHandler;
import flintlead.routing.admission.AdmissionController;
import flintlead.routing.guard.InvocationGuard;
import flintlead.routing.guard.RecentInvocations;
import flintlead.routing.pending.PendingResponses;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;

/**
 * All invocations in progress. Tracks what each of them counts against the admission limits, and
 * ensures that each gets one response. Used on the event loop only.
 */
final class InvocationRegistry {

  /** Heap of an invocation with its attempts, without the body. */
  private static final int INVOCATION_BYTES = 2_048;

  private final EventExecutor loop;
  private final AdmissionController admission;
  private final InvocationGuard guard;
  private final Logger log;
  private final PendingResponses<Consumer<InvocationHandler.ResponseCallback>> responses;
  private final Map<Long, PendingInvocation> invocations = new HashMap<>();
  private final RecentInvocations recent;

  /**
   * Creates an empty registry.
   *
   * @param recent ids of invocations that must not run twice
   * @param slack how long after its deadline an invocation may still get its response
   * @param log receives {@code response_guard}, and {@code invocation_ended} at DEBUG
   */
  InvocationRegistry(
      EventExecutor loop,
      AdmissionController admission,
      InvocationGuard guard,
      RecentInvocations recent,
      Span slack,
      Logger log) {
    this.loop = loop;
    this.recent = recent;
    this.admission = admission;
    this.guard = guard;
    this.log = log;
    this.responses = new PendingResponses<>(slack, detail -> logGuard(log, detail));
  }

  private static void logGuard(Logger log, String detail) {
    log.atWarn().addKeyValue("detail", detail).log("response_guard");
  }

  /** Whether an invocation with this id is in progress. */
  boolean contains(long id) {
    return invocations.containsKey(id);
  }

  /** An attempt of an invocation that must not run twice was sent. */
  void recordSent(PendingInvocation invocation) {
    recent.add(invocation.id());
  }

  /** Whether an invocation with this id was sent to a host, and must not run twice. */
  boolean mayHaveRun(long id) {
    return recent.contains(id);
  }

  /** Returns the invocation with this id, or null if none is in progress. */
  PendingInvocation find(long id) {
    return invocations.get(id);
  }

  /** How long a client whose invocation is not admitted should wait before it retries. */
  Span retryAfter() {
    return admission.retryAfter();
  }

  /**
   * Admits one more invocation if the admission limits allow it.
   *
   * @param source counts this one invocation
   * @param bytes size of its body
   * @return whether it was admitted
   */
  boolean admit(AdmissionController.Source source, int bytes) {
    return admission.tryAdmit(source, INVOCATION_BYTES + bytes);
  }

  /**
   * Adds an admitted invocation. It counts against the admission limits until its response is sent
   * or discarded.
   */
  void add(PendingInvocation invocation, AdmissionController.Source source) {
    int bytes = INVOCATION_BYTES + invocation.body().length;
    invocations.put(invocation.id(), invocation);
    responses.register(
        invocation.id(),
        invocation.record().deadline(),
        response -> {
          admission.release(source, bytes);
          response.accept(invocation.client());
        });
  }

  /** Whether the invocation has no response yet. */
  boolean isOpen(PendingInvocation invocation) {
    return responses.isPending(invocation.id());
  }

  /**
   * Sends the client its response; a second one is suppressed and counted as an invariant
   * violation.
   *
   * @param outcome description for the invocation's history
   */
  void respond(
      PendingInvocation invocation,
      String outcome,
      Consumer<InvocationHandler.ResponseCallback> response) {
    invocation.record().addEvent(loop.now(), outcome);
    if (guard.markAnswered(invocation.record())) {
      responses.complete(invocation.id(), response);
    }
  }

  /**
   * Releases the invocation from the admission limits without a response, because its client has
   * disconnected.
   */
  void discardResponse(PendingInvocation invocation) {
    invocation.record().addEvent(loop.now(), "client gone");
    if (guard.markClientGone(invocation.record())) {
      responses.complete(invocation.id(), client -> {});
    }
  }

  /**
   * If the invocation no longer needs a response, withdraws its attempts that are still queued,
   * releases its body, and removes the invocation once its attempts have ended and the scheduler
   * has finished with it.
   */
  void releaseIfFinished(PendingInvocation invocation) {
    if (isOpen(invocation)) {
      return;
    }
    invocation.withdrawQueuedAttempts();
    invocation.releaseBody();
    if (invocation.isFinished()) {
      invocations.remove(invocation.id());
      if (!invocation.mayHaveRun()) {
        recent.remove(invocation.id());
      }
      logUnlessRoutine(invocation);
    }
  }

  /**
   * Logs the invocation at DEBUG, unless its only attempt succeeded: such invocations are of no
   * interest for diagnosis.
   */
  private void logUnlessRoutine(PendingInvocation invocation) {
    if (log.isDebugEnabled() && !invocation.succeededWithOneAttempt()) {
      log.atDebug()
          .addKeyValue("id", invocation.idText())
          .addKeyValue("phase", invocation.record().phase())
          .addKeyValue("attempts", invocation.attempts().size())
          .addKeyValue("history", invocation.record().history())
          .log("invocation_ended");
    }
  }

  /**
   * Returns the invocations without a response whose deadline plus slack has passed, and reports
   * each of them to the guard.
   */
  List<Long> overdue(Moment now) {
    List<Long> overdue = responses.expired(now);
    for (long id : overdue) {
      guard.reportOverdue(invocations.get(id).record(), now);
    }
    return overdue;
  }

  /** Returns the invocations without a response, oldest first. */
  List<Long> openInvocations() {
    return responses.pendingInvocations();
  }

  /** Number of invocations without a response. */
  int openCount() {
    return responses.size();
  }
}
