package flintlead.scheduling.state;

import flintlead.scheduling.api.HostRemark;
import flintlead.scheduling.api.InvocationHandle;
import flintlead.scheduling.api.InvocationSpec;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.api.TriggerType;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;

/** State of one invocation since its submission. */
public final class InvocationState implements InvocationHandle {

  public final long id;
  public final InvocationSpec spec;
  public final TriggerType type;
  public final FunctionState function;

  /** Invocations that one instance of the function runs concurrently. */
  public final double slotsPerInstance;

  /** When the client's timeout expires. */
  public final Moment deadline;

  /** The earlier of {@link #deadline} and the end of the latency objective. */
  public final Moment objectiveDeadline;

  public final List<Attempt> attempts = new ArrayList<>(2);
  public int attemptsInFlight;

  /** Whether the customer had used up its quota when the invocation was submitted. */
  public boolean overQuota;

  public boolean queued;

  /** Priority in the queue; the invocation with the highest is released first. */
  public double priorityWeight;

  /** Order of arrival in the queue, from 1; 0 if the invocation is not queued. */
  public long queueSequence;

  /** When the invocation expires in the queue, unless a load was ordered for it. */
  public Moment queueUntil;

  /**
   * Random number from 0 to 1, drawn once per invocation, that selects one of the hosts its
   * function is spread over.
   */
  public double placementDraw;

  /**
   * Number of hosts with capacity to skip on the hash walk. They serve the invocations with a lower
   * {@link #placementDraw}.
   */
  public double hostsToSkip;

  /** Host that was sent a load order for this invocation after a miss; null if none was. */
  public Host loadOrderedAt;

  /** Host that may be tried again although an attempt was sent to it; null if there is none. */
  public Host retryableHost;

  /** Cancels the timer that forces the final answer. */
  public Runnable cancelTimer;

  /**
   * Whether scheduling is over: the final answer was given, the response stream has begun, or the
   * client disconnected.
   */
  public boolean settled;

  private final InvocationListener events;

  InvocationState(
      long id,
      InvocationSpec spec,
      TriggerType type,
      FunctionState function,
      Moment submittedAt,
      InvocationListener events) {
    this.id = id;
    this.spec = spec;
    this.type = type;
    this.function = function;
    this.slotsPerInstance = Math.max(1, spec.slotsPerInstance());
    this.deadline = submittedAt.plus(spec.timeout());
    this.objectiveDeadline = Moment.earlier(deadline, submittedAt.plus(type.latencyObjective()));
    this.events = events;
  }

  /** Returns whether an attempt was sent to the host and may not be repeated there. */
  public boolean wasTried(Host host) {
    for (Attempt attempt : attempts) {
      if (attempt.host == host && host != retryableHost) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the earliest attempt that is in flight or whose outcome does not prove that the
   * function did not run, or null if there is none.
   */
  public Attempt firstThatMayHaveRun() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveRun()) {
        return attempt;
      }
    }
    return null;
  }

  @Override
  public void attemptEnded(
      int number, Outcome outcome, Span elapsed, boolean answered, int remark, float[] report) {
    Attempt attempt = attempts.get(number);
    if (attempt.outcome != null) {
      return;
    }
    attempt.end(outcome, elapsed, HostRemark.decode(remark));
    attemptsInFlight--;
    events.attemptEnded(attempt, answered);
  }

  @Override
  public void responseStarted(int attempt, Span elapsed) {
    events.responseStarted(attempts.get(attempt));
  }

  @Override
  public void clientDisconnected() {
    events.clientDisconnected(this);
  }

  @Override
  public void abandon() {
    events.abandon(this);
  }

  @Override
  public boolean isFinished() {
    return settled && attemptsInFlight == 0;
  }
}
