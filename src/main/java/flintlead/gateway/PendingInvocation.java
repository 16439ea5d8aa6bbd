package flintlead.gateway;

import flintlead.routing.admission.AdmissionController;
import flintlead.routing.guard.InvocationRecord;
import flintlead.routing.pool.PoolAssignment;
import flintlead.scheduling.api.InvocationHandle;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** An invocation in the gateway, from its acceptance until its last attempt has ended. */
final class PendingInvocation {

  static final String STOPPING = "the gateway is stopping";
  static final String DEADLINE_PASSED = "no answer in the client's time";

  /** A failure this close to the deadline is reported as the deadline's. */
  private static final Span DEADLINE_TOLERANCE = Span.ofMillis(20);

  private final long id;
  private final InvocationRequest request;
  private final String token;
  private final GatewayConfig.Footprint footprint;
  private final boolean idempotent;
  private final Span tokenWindow;
  private final InvocationRecord record;
  private final ClientView client;
  private final AdmissionController.Source source;
  private final PoolAssignment poolAssignment;
  private final List<InvocationAttempt> attempts = new ArrayList<>(2);
  private InvocationHandle handle;
  private Runnable cancelTimer = () -> {};
  private String lastFailure;
  private boolean abandoned;

  /**
   * Makes an invocation without attempts.
   *
   * @param token the client's, or the gateway's own for one that has none
   * @param tokenWindow how long hosts know the token; zero if the trigger type is not tokened
   * @param record as the guard knows it
   * @param client what is known of its client
   * @param source whose share of the gateway's capacity it takes
   */
  PendingInvocation(
      long id,
      InvocationRequest request,
      String token,
      GatewayConfig.Footprint footprint,
      boolean idempotent,
      Span tokenWindow,
      InvocationRecord record,
      ClientView client,
      AdmissionController.Source source,
      PoolAssignment poolAssignment) {
    this.id = id;
    this.request = request;
    this.token = token;
    this.footprint = footprint;
    this.idempotent = idempotent;
    this.tokenWindow = tokenWindow;
    this.record = record;
    this.client = client;
    this.source = source;
    this.poolAssignment = poolAssignment;
  }

  long id() {
    return id;
  }

  InvocationRequest request() {
    return request;
  }

  String token() {
    return token;
  }

  GatewayConfig.Footprint footprint() {
    return footprint;
  }

  boolean isIdempotent() {
    return idempotent;
  }

  Span tokenWindow() {
    return tokenWindow;
  }

  /** When hosts forget the token; known once there is an attempt. */
  Moment tokenExpiry() {
    return attempts.get(0).startedAt().plus(tokenWindow);
  }

  Moment deadline() {
    return record.deadline();
  }

  /** What the guard knows of it. */
  InvocationRecord record() {
    return record;
  }

  /** What is known of its client. */
  ClientView client() {
    return client;
  }

  AdmissionController.Source source() {
    return source;
  }

  PoolAssignment poolAssignment() {
    return poolAssignment;
  }

  /** All attempts by number; the list grows. */
  List<InvocationAttempt> attempts() {
    return attempts;
  }

  /** Sets what cancels a timer of the invocation, which holds it with its payload. */
  void cancelWhenForgotten(Runnable cancel) {
    cancelTimer = cancel;
  }

  /** The invocation has ended with all its attempts, and nothing holds it any more. */
  void forgotten() {
    cancelTimer.run();
  }

  /** The scheduler's handle; null until the scheduler has taken the invocation. */
  InvocationHandle handle() {
    return handle;
  }

  void handle(InvocationHandle given) {
    handle = given;
  }

  /** Calls the scheduler's handle, unless the scheduler failed to take the invocation. */
  void withHandle(Consumer<InvocationHandle> call) {
    if (handle != null) {
      call.accept(handle);
    }
  }

  /** What the last failed attempt said; null if none has failed. */
  String lastFailure() {
    return lastFailure;
  }

  void lastFailure(String reason) {
    lastFailure = reason;
  }

  /** Whether it was still open at the end of the gateway's grace. */
  boolean isAbandoned() {
    return abandoned;
  }

  void markAbandoned() {
    abandoned = true;
  }

  /** Why it is failed, as the client is told. */
  String failureReason(Moment now) {
    if (lastFailure != null) {
      return lastFailure;
    }
    if (isAbandoned()) {
      return STOPPING;
    }
    return now.plus(DEADLINE_TOLERANCE).isBefore(deadline()) ? "given up" : DEADLINE_PASSED;
  }

  /**
   * Whether any attempt may have run, as the client is told. Whether it may be retried is judged by
   * the scheduler, from outcomes.
   */
  boolean mayHaveRun() {
    for (InvocationAttempt attempt : attempts) {
      if (attempt.mayHaveRun()) {
        return true;
      }
    }
    return false;
  }
}
