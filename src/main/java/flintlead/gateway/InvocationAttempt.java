package flintlead.gateway;

import flintlead.gateway.upstream.Exchange;
import flintlead.gateway.upstream.ExchangeResult;
import flintlead.gateway.upstream.HostLink;
import flintlead.routing.guard.InvocationGuard;
import flintlead.routing.guard.SendVerdict;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.jsonrpc.MessageWriter;

/** One attempt of an invocation: the request "run" to one host. */
final class InvocationAttempt extends Exchange {

  /** Hears of the end of attempts. */
  interface Listener {

    /** The attempt has ended, whoever ended it; may be told more than once of one attempt. */
    void attemptEnded(InvocationAttempt attempt, ExchangeResult result);
  }

  private final PendingInvocation invocation;
  private final int number;
  private final HostLink link;
  private final EventTimers timers;
  private final Moment startedAt;
  private final Moment abandonAt;
  private final Listener listener;
  private final InvocationGuard guard;
  private Outcome outcome;

  /**
   * Makes an attempt that starts now.
   *
   * @param link to the host; null if the host has left the list
   * @param abandonAt when the attempt is withdrawn at the latest
   */
  InvocationAttempt(
      PendingInvocation invocation,
      HostLink link,
      EventTimers timers,
      Moment abandonAt,
      Listener listener,
      InvocationGuard guard) {
    this.invocation = invocation;
    this.number = invocation.attempts().size();
    this.link = link;
    this.timers = timers;
    this.startedAt = timers.now();
    this.abandonAt = abandonAt;
    this.listener = listener;
    this.guard = guard;
  }

  PendingInvocation invocation() {
    return invocation;
  }

  /** Its number among the invocation's attempts, from 0. */
  int number() {
    return number;
  }

  Moment startedAt() {
    return startedAt;
  }

  /** The host's name; only of an attempt that was given a link. */
  String hostName() {
    return link.spec().name();
  }

  /** Whether its outcome is not known yet. */
  boolean isInProgress() {
    return outcome == null;
  }

  /** Records how it ended; called once. */
  void complete(Outcome how) {
    outcome = how;
  }

  /** Whether the attempt may have run the invocation, as far as is known now. */
  boolean mayHaveRun() {
    return outcome == null ? mayHaveBeenSent() : outcome.mayHaveRun();
  }

  /** Whether it is in progress past its time. */
  boolean isOverdue(Moment now) {
    return isInProgress() && now.isAfter(abandonAt) && !hasEnded();
  }

  /** Ends the request at the link; returns whether it can't have left. */
  boolean withdrawFromLink() {
    return link == null || link.withdraw(this);
  }

  /** Sees to it that the request arrives now or never. */
  void recall() {
    if (link != null) {
      link.recall(this);
    }
  }

  /** Hands the request to the link, or ends it in an event of its own if there is none. */
  void start() {
    if (link == null) {
      // The host left the list in the same event in which it was chosen.
      timers.later(
          () ->
              ended(
                  ExchangeResult.unanswered(Outcome.CONNECT_FAILED, "the host has left the list")));
    } else {
      link.run(this);
    }
  }

  @Override
  protected SendVerdict maySend(Moment deliveredUpTo, Moment clock) {
    Moment seenAt = Moment.earlier(invocation.client().seenOpenAt(), deliveredUpTo);
    return guard.maySend(invocation.record(), seenAt, sendBefore(), clock);
  }

  /**
   * When the attempt must have been written. Hosts forget a token after its window: written later,
   * a repeat could run the invocation a second time.
   */
  private Moment sendBefore() {
    boolean repeatsToken = number > 0 && invocation.tokenWindow().micros() > 0;
    return repeatsToken ? Moment.earlier(abandonAt, invocation.tokenExpiry()) : abandonAt;
  }

  @Override
  protected boolean isNewWork() {
    return true;
  }

  @Override
  protected String method() {
    return "run";
  }

  @Override
  protected boolean isIdempotent() {
    return invocation.isIdempotent();
  }

  @Override
  protected void params(MessageWriter frame) {
    InvocationRequest request = invocation.request();
    GatewayConfig.Footprint footprint = invocation.footprint();
    Moment clock = timers.loop().polls().readClock();
    long remainingMillis = Math.max(0, millis(invocation.deadline().since(clock)));
    frame
        .put("function", request.function())
        .put("triggerType", request.triggerType())
        .put("token", invocation.token())
        .put("leftMs", remainingMillis)
        .put("memoryMb", footprint.memoryMb())
        .put("lanes", footprint.slotsPerInstance())
        .put("loadMs", millis(footprint.loadTime()))
        .putJson("payload", request.payload());
  }

  private static long millis(Span span) {
    return span.micros() / 1000;
  }

  @Override
  protected void ended(ExchangeResult result) {
    listener.attemptEnded(this, result);
  }
}
