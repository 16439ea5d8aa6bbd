package flintlead.gateway;

import flintlead.gateway.upstream.ExchangeResult;
import flintlead.gateway.upstream.HostLink;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import java.util.ArrayList;
import java.util.List;

/** Starts and withdraws attempts, as the scheduler asks. Used on the gateway's event loop only. */
final class AttemptDispatcher {

  private final EventTimers timers;
  private final InvocationService invocations;
  private final HostLinks links;
  private final Counters counters;

  AttemptDispatcher(
      EventTimers timers, InvocationService invocations, HostLinks links, Counters counters) {
    this.timers = timers;
    this.invocations = invocations;
    this.links = links;
    this.counters = counters;
  }

  /** Starts the invocation's next attempt at the host, which may have left the list. */
  void dispatch(long id, long host, Moment abandonAt) {
    PendingInvocation invocation = invocations.find(id);
    HostLink link = links.find(host);
    InvocationAttempt attempt =
        new InvocationAttempt(
            invocation, link, timers, abandonAt, invocations, invocations.guard());
    invocation.attempts().add(attempt);
    counters.attempts++;
    if (attempt.number() == 1 && invocation.tokenWindow().micros() > 0) {
      recallWhenTokenExpires(invocation);
    }
    attempt.start();
  }

  /**
   * Past the window after the first attempt the hosts have forgotten the token: an attempt that
   * arrives late would run the invocation a second time.
   */
  private void recallWhenTokenExpires(PendingInvocation invocation) {
    // A copy: a connection that breaks may have the scheduler dispatch within this very event.
    invocation.cancelWhenForgotten(
        timers.at(
            invocation.tokenExpiry(),
            () -> List.copyOf(invocation.attempts()).forEach(InvocationAttempt::recall)));
  }

  /** Withdraws the attempt if it is in progress. */
  void cancel(long id, int number) {
    PendingInvocation invocation = invocations.find(id);
    InvocationAttempt attempt = invocation == null ? null : invocation.attempts().get(number);
    if (attempt != null && attempt.isInProgress()) {
      withdraw(attempt, Outcome.CANCELLED, "called back");
    }
  }

  /** Withdraws all attempts in progress past their time. */
  void withdrawOverdue() {
    List<InvocationAttempt> overdue = new ArrayList<>(0);
    for (PendingInvocation invocation : invocations.all()) {
      for (InvocationAttempt attempt : invocation.attempts()) {
        if (attempt.isOverdue(timers.now())) {
          overdue.add(attempt);
        }
      }
    }
    overdue.forEach(
        attempt -> withdraw(attempt, Outcome.TIMEOUT, "no answer in the client's time"));
  }

  private void withdraw(InvocationAttempt attempt, Outcome ifSent, String reason) {
    // What never left can't have run, whatever ended the wait for it.
    Outcome outcome = attempt.withdrawFromLink() ? Outcome.WITHDRAWN : ifSent;
    timers.later(
        () -> invocations.attemptEnded(attempt, ExchangeResult.unanswered(outcome, reason)));
  }
}
