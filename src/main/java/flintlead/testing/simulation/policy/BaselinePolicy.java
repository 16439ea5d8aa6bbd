package flintlead.testing.simulation.policy;

import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.api.InvocationHandle;
import flintlead.scheduling.api.InvocationSpec;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.api.SchedulerContext;
import flintlead.scheduling.api.SchedulingPolicy;
import flintlead.scheduling.api.TriggerType.Effect;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * What all baseline policies share: one choice of a host per attempt, retries only where the
 * attempt before can't have run or the invocation is idempotent, and a response in the client's
 * time. They order no loads and know no warm instances but by their choice. On the gateway's event
 * loop.
 */
final class BaselinePolicy implements SchedulingPolicy {

  private static final int MAX_ATTEMPTS = 3;

  /** Ticks before the client's deadline at which the invocation is abandoned. */
  private static final int DEADLINE_MARGIN_TICKS = 2;

  private static final Span HOLD_INTERVAL = Span.ofMillis(10);
  private static final Span RETRY_AFTER = Span.ofMillis(150);

  private final SchedulerContext gateway;
  private final Deployment deployment;
  private final HostChooser choice;
  private final Random random;

  /** In the order of their numbers. */
  private final Map<Long, KnownHost> hosts = new TreeMap<>();

  BaselinePolicy(
      SchedulerContext gateway, Deployment deployment, HostChooser choice, Random random) {
    if (!deployment.hostLoadsOnMiss()) {
      throw new IllegalArgumentException(
          "simple policies need workers that load what they lack: loadsWhenAbsent: true");
    }
    this.gateway = gateway;
    this.deployment = deployment;
    this.choice = choice;
    this.random = random;
  }

  @Override
  public InvocationHandle submit(long invocation, InvocationSpec call) {
    BaselineInvocation accepted = new BaselineInvocation(invocation, call);
    accepted.schedule();
    return accepted;
  }

  @Override
  public void replaceHosts(List<HostEntry> entries) {
    Set<Long> listed = new HashSet<>();
    entries.forEach(entry -> listed.add(entry.host()));
    hosts.keySet().retainAll(listed);
    updateHosts(entries);
  }

  @Override
  public void updateHosts(List<HostEntry> entries) {
    for (HostEntry entry : entries) {
      hosts.computeIfAbsent(entry.host(), any -> new KnownHost(entry)).entry = entry;
    }
  }

  @Override
  public void hostListUnavailable() {
    // The hosts known last stay.
  }

  @Override
  public void loadCompleted(long host, long function, Outcome outcome, Span elapsed, int copies) {
    // No loads are ordered.
  }

  private final class BaselineInvocation implements InvocationHandle {
    private final long invocation;
    private final InvocationSpec call;
    private final Moment deadline;

    /** The hosts of its attempts, in their order. */
    private final List<KnownHost> attempts = new ArrayList<>(1);

    private boolean mayHaveRun;
    private boolean answered;
    private boolean attemptRunning;
    private final Runnable deadlineTimer;

    BaselineInvocation(long invocation, InvocationSpec call) {
      this.invocation = invocation;
      this.call = call;
      this.deadline =
          gateway.now().plus(call.timeout()).minus(deployment.tick().times(DEADLINE_MARGIN_TICKS));
      this.deadlineTimer = gateway.schedule(deadline, this::abandon);
    }

    /** Sends one more attempt, or holds the invocation, or abandons it. */
    void schedule() {
      if (answered || attemptRunning) {
        return;
      }
      List<KnownHost> candidates =
          hosts.values().stream()
              .filter(
                  host -> host.entry.state() == HostEntry.State.READY && !attempts.contains(host))
              .toList();
      if (attempts.size() == MAX_ATTEMPTS || candidates.isEmpty()) {
        abandon();
        return;
      }
      KnownHost host = choice.of(call, candidates, random);
      if (host == null) {
        gateway.schedule(gateway.now().plus(HOLD_INTERVAL), this::schedule);
        return;
      }
      attempts.add(host);
      host.inFlight++;
      choice.sent(call, host);
      attemptRunning = true;
      gateway.dispatch(invocation, host.number, deadline);
    }

    @Override
    public void attemptEnded(
        int attempt, Outcome outcome, Span elapsed, boolean last, int remark, float[] report) {
      KnownHost host = attempts.get(attempt);
      host.inFlight--;
      choice.back(call, host);
      attemptRunning = false;
      mayHaveRun |= outcome.mayHaveRun();
      if (outcome == Outcome.OK || last) {
        finish();
      } else if (!answered) {
        retryOrGiveUp(outcome);
      }
    }

    private void retryOrGiveUp(Outcome outcome) {
      boolean mayRetry =
          !outcome.mayHaveRun()
              || deployment.triggerTypes().get(call.triggerType()).effect() == Effect.IDEMPOTENT;
      if (mayRetry && gateway.now().isBefore(deadline)) {
        schedule();
      } else {
        abandon();
      }
    }

    private void finish() {
      answered = true;
      deadlineTimer.run();
    }

    @Override
    public void responseStarted(int attempt, Span elapsed) {
      // Not used.
    }

    @Override
    public void clientDisconnected() {
      cancelAttempt();
      finish();
    }

    @Override
    public void abandon() {
      if (answered) {
        return;
      }
      finish();
      boolean running = attemptRunning;
      cancelAttempt();
      if (mayHaveRun || running) {
        gateway.fail(invocation);
      } else {
        gateway.throttle(invocation, RETRY_AFTER);
      }
    }

    private void cancelAttempt() {
      if (attemptRunning) {
        gateway.cancel(invocation, attempts.size() - 1);
      }
    }

    @Override
    public boolean isFinished() {
      return answered && !attemptRunning;
    }
  }
}
