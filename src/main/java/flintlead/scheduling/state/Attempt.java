package flintlead.scheduling.state;

import flintlead.scheduling.api.HostRemark;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.time.Span;

/** One attempt of an invocation at a host. */
public final class Attempt {

  public final InvocationState invocation;

  /** Index among the attempts of the invocation, from 0. */
  public final int number;

  public final Host host;
  public final InstanceEstimate estimate;
  public final Moment sentAt;

  /** Whether the host was believed to have the function loaded when the attempt was sent. */
  public final boolean warm;

  /** Whether the attempt is still counted as a load in flight. */
  public boolean countsAsLoad;

  /**
   * The outcome. As long as the attempt is in flight, this, {@link #elapsed} and {@link #remark}
   * are null.
   */
  public Outcome outcome;

  public Span elapsed;
  public HostRemark remark;

  /** Cancels the timer that checks whether the host has answered. */
  public Runnable cancelSilenceCheck;

  Attempt(
      InvocationState invocation,
      Host host,
      InstanceEstimate estimate,
      Moment sentAt,
      boolean warm) {
    this.invocation = invocation;
    this.number = invocation.attempts.size();
    this.host = host;
    this.estimate = estimate;
    this.sentAt = sentAt;
    this.warm = warm;
    this.countsAsLoad = !warm;
  }

  void end(Outcome finalOutcome, Span totalElapsed, HostRemark hostRemark) {
    outcome = finalOutcome;
    elapsed = totalElapsed;
    remark = hostRemark;
    cancelSilenceCheck.run();
  }

  /** Returns the latency objective of the invocation's trigger type. */
  public Span latencyObjective() {
    return invocation.type.latencyObjective();
  }

  /** Returns whether the host has answered nothing, to any attempt, since this one was sent. */
  public boolean hostSilent() {
    return !host.lastAnswerAt.isAfter(sentAt);
  }

  /** Returns false only if the outcome proves that the function did not run. */
  public boolean mayHaveRun() {
    return outcome == null || outcome.mayHaveRun();
  }
}
