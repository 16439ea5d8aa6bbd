package flintlead.platform;

import flintlead.platform.upstream.ConnectionPool;
import flintlead.platform.upstream.HostProtocol;
import flintlead.platform.upstream.Request;
import flintlead.platform.upstream.ResponseFields;
import flintlead.routing.guard.SendVerdict;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.time.Span;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * One attempt to run an invocation on a host. Gets exactly one outcome. Used on the event loop
 * only.
 */
final class HostAttempt extends Request {

  private final AttemptRunner runner;
  private final PendingInvocation invocation;
  private final int number;
  private final Moment startedAt;
  private final Moment abandonAt;

  /** The attempt must not be written at this time or later. */
  private Moment sendBefore;

  /** Null if the host is not listed; then nothing is ever sent. */
  private final ConnectionPool pool;

  /** The time limit that was sent to the host; set when the attempt is written. */
  private Span grantedTime = Span.ZERO;

  /** Cancel the timers of the attempt, which hold the invocation with its body until they run. */
  private final List<Runnable> timerCancellations = new ArrayList<>(2);

  private Outcome outcome;

  /**
   * Creates the next attempt of an invocation, without starting it.
   *
   * @param runner notified of the outcome
   * @param previous the previous attempt of the invocation; null for the first
   * @param pool connection pool of the host; null if the host is not listed
   * @param abandonAt when the response is no longer waited for
   */
  HostAttempt(
      AttemptRunner runner,
      PendingInvocation invocation,
      HostAttempt previous,
      ConnectionPool pool,
      Moment startedAt,
      Moment abandonAt) {
    super(invocation.idText(), previous);
    this.runner = runner;
    this.invocation = invocation;
    this.number = previous == null ? 0 : previous.number + 1;
    this.pool = pool;
    this.startedAt = startedAt;
    this.abandonAt = abandonAt;
    this.sendBefore = abandonAt;
  }

  PendingInvocation invocation() {
    return invocation;
  }

  /** 0 for the invocation's first attempt. */
  int number() {
    return number;
  }

  Moment startedAt() {
    return startedAt;
  }

  /** Whether the host is listed. */
  boolean hasHost() {
    return pool != null;
  }

  boolean hasOutcome() {
    return outcome != null;
  }

  /** Whether the attempt may have run the invocation, as far as is known now. */
  boolean mayHaveRun() {
    return outcome == null || outcome.mayHaveRun();
  }

  boolean succeeded() {
    return outcome == Outcome.OK;
  }

  /** Sets the outcome and cancels the timers; returns false if there is an outcome already. */
  boolean finish(Outcome result) {
    if (outcome != null) {
      return false;
    }
    outcome = result;
    timerCancellations.forEach(Runnable::run);
    timerCancellations.clear();
    return true;
  }

  /**
   * Hosts forget the invocation's idempotency key at this time: written later, the attempt could
   * run the invocation a second time. Checked when it is written, as it may wait until then.
   */
  void setKeyExpiry(Moment expiry) {
    sendBefore = Moment.earlier(abandonAt, expiry);
  }

  /** Adds what cancels a timer of the attempt; run when the attempt ends. */
  void addTimer(Runnable cancel) {
    timerCancellations.add(cancel);
  }

  /** Passes the attempt to the host's connection pool. */
  void start() {
    pool.submit(this);
  }

  /** Ends the attempt if it is still queued; its outcome is delivered later. */
  void withdrawIfQueued() {
    if (outcome == null && pool != null) {
      pool.withdrawIfQueued(this);
    }
  }

  /** Ends the attempt early; returns whether it is certain that nothing of it was sent. */
  boolean withdraw() {
    return pool == null || pool.withdraw(this);
  }

  /**
   * The latest time up to which both the client's connection and the other socket events are known.
   */
  private Moment stateKnownAt(Moment deliveredUpTo) {
    return Moment.earlier(invocation.client().seenOpenAt(), deliveredUpTo);
  }

  @Override
  protected SendVerdict maySend(Moment deliveredUpTo, Moment clock) {
    return runner
        .guard()
        .maySend(invocation.record(), stateKnownAt(deliveredUpTo), sendBefore, clock);
  }

  @Override
  protected boolean isNewWork() {
    return true;
  }

  @Override
  protected void writtenToSocket(Moment clock) {
    runner.sent(invocation);
    runner
        .guard()
        .checkSent(invocation.record(), invocation.client().seenOpenAt(), grantedTime, clock);
    invocation.record().addEvent(clock, "attempt " + number + " sent");
  }

  @Override
  protected void write(ByteBuf out) {
    long grantedMillis = runner.remainingMillis(abandonAt);
    grantedTime = Span.ofMillis(grantedMillis);
    HostProtocol.writeFire(
        out,
        tag(),
        invocation.triggerTypeName(),
        invocation.functionText(),
        grantedMillis,
        invocation.idempotencyKey(),
        invocation.body());
  }

  @Override
  protected void ended(Outcome result, ResponseFields fields, ByteBuf body) {
    runner.ended(this, result, fields, body);
  }
}
