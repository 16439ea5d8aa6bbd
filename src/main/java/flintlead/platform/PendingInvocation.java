package flintlead.platform;

import flintlead.platform.downstream.InvocationHandler;
import flintlead.routing.guard.InvocationRecord;
import flintlead.scheduling.api.InvocationHandle;
import flintlead.scheduling.api.InvocationSpec;
import flintlead.time.Moment;
import java.util.ArrayList;
import java.util.List;

/**
 * One invocation, from its acceptance until its attempts have ended and the scheduler has finished
 * with it. Used on the event loop only.
 */
final class PendingInvocation {

  private static final byte[] NO_BODY = {};

  private final InvocationHandler.Invocation request;
  private final String triggerTypeName;
  private byte[] body;
  private final InvocationHandler.ResponseCallback client;
  private final InvocationRecord record;
  private final List<HostAttempt> attempts = new ArrayList<>(2);
  private InvocationHandle handle;

  /**
   * Creates an invocation that has not been submitted to the scheduler yet.
   *
   * @param triggerTypeName name of the trigger type in the host protocol
   * @param body kept, without a copy, until {@link #releaseBody}
   * @param client receives the response
   * @param record the guard's record of the invocation
   */
  PendingInvocation(
      InvocationHandler.Invocation request,
      String triggerTypeName,
      byte[] body,
      InvocationHandler.ResponseCallback client,
      InvocationRecord record) {
    this.request = request;
    this.triggerTypeName = triggerTypeName;
    this.body = body;
    this.client = client;
    this.record = record;
  }

  /** Returns the recipient of the response. */
  InvocationHandler.ResponseCallback client() {
    return client;
  }

  /** Returns the guard's record of the invocation. */
  InvocationRecord record() {
    return record;
  }

  long id() {
    return request.id();
  }

  String idText() {
    return request.idText();
  }

  String functionText() {
    return request.functionText();
  }

  String triggerTypeName() {
    return triggerTypeName;
  }

  /** Returns the index of its trigger type. */
  int triggerType() {
    return request.spec().triggerType();
  }

  /**
   * Returns the invocation's description for the scheduler. Its timeout is the time left until the
   * deadline, as the client's time runs from the arrival of the request.
   */
  InvocationSpec spec(Moment now) {
    return request.spec().withTimeout(record.deadline().since(now));
  }

  /** Returns the client's idempotency key, or null if it sent none. */
  String idempotencyKey() {
    return request.idempotencyKey();
  }

  byte[] body() {
    return body;
  }

  /** Releases the body: no attempt will be written any more, although some may not have ended. */
  void releaseBody() {
    body = NO_BODY;
  }

  /** Whether any of its attempts may have run it. */
  boolean mayHaveRun() {
    return attempts.stream().anyMatch(HostAttempt::mayHaveRun);
  }

  /** Returns its attempts, in the order in which the scheduler requested them. */
  List<HostAttempt> attempts() {
    return attempts;
  }

  /**
   * Returns the scheduler's handle for the invocation; null until the scheduler has accepted it.
   */
  InvocationHandle handle() {
    return handle;
  }

  void setHandle(InvocationHandle accepted) {
    handle = accepted;
  }

  /**
   * Withdraws the attempts that still wait for a connection. They must not be sent once the client
   * has its response or has disconnected, even if hosts do not support cancellation.
   */
  void withdrawQueuedAttempts() {
    for (HostAttempt attempt : attempts) {
      attempt.withdrawIfQueued();
    }
  }

  /** Whether the invocation had a single attempt, which succeeded. */
  boolean succeededWithOneAttempt() {
    return attempts.size() == 1 && attempts.get(0).succeeded();
  }

  /**
   * Whether every attempt has ended, and the scheduler has finished with the invocation or never
   * accepted it.
   */
  boolean isFinished() {
    if (handle != null && !handle.isFinished()) {
      return false;
    }
    for (HostAttempt attempt : attempts) {
      if (!attempt.hasOutcome()) {
        return false;
      }
    }
    return true;
  }
}
