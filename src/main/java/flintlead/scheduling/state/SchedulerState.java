package flintlead.scheduling.state;

import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.InvocationSpec;
import flintlead.scheduling.api.SchedulerContext;
import flintlead.scheduling.api.SchedulingPolicy.ObservationConsumer;
import flintlead.scheduling.lease.HostLeases;
import flintlead.time.Moment;
import java.util.Random;

/** What the parts of one gateway's scheduler share. Used from the gateway's event loop only. */
public final class SchedulerState {

  public final SchedulerContext context;
  public final Deployment deployment;
  public final Random random;
  public final HostTable hosts;
  public final FunctionTable functions;
  public final LoadOrders loadOrders = new LoadOrders();

  /** Whether new work may be sent to a host. */
  public final HostLeases leases;

  /** Gateways that share the hosts, at least as many as configured. */
  public int gateways;

  /** Pairs of function and host for which own loads are in flight. */
  public int loadsInFlight;

  /** Creates the state of a gateway that knows no host yet. */
  public SchedulerState(
      SchedulerContext context,
      Deployment deployment,
      long seed,
      int maxFunctions,
      int maxDeparted) {
    this.context = context;
    this.deployment = deployment;
    this.leases = context.leases();
    this.random = new Random(seed);
    this.hosts = new HostTable(maxDeparted);
    this.functions = new FunctionTable(maxFunctions);
    this.gateways = Math.max(1, deployment.gateways());
  }

  /** The gateway's clock. */
  public Moment now() {
    return context.now();
  }

  /** Creates the state of an invocation that is submitted now. */
  public InvocationState newInvocation(long id, InvocationSpec spec, InvocationEvents events) {
    FunctionState function = functions.getOrCreate(spec.function());
    InvocationState invocation =
        new InvocationState(
            id, spec, deployment.triggerTypes().get(spec.triggerType()), function, now(), events);
    invocation.placementDraw = random.nextDouble();
    return invocation;
  }

  /** Counts an attempt that is sent now. */
  public Attempt newAttempt(InvocationState invocation, Host host, boolean warm) {
    InstanceEstimate estimate = invocation.function.getOrCreateEstimate(host);
    Attempt attempt = new Attempt(invocation, host, estimate, now(), warm);
    invocation.attempts.add(attempt);
    invocation.attemptsInFlight++;
    host.inFlight++;
    estimate.inFlight++;
    if (!warm && estimate.loadsInFlight++ == 0) {
      loadsInFlight++;
      estimate.loadingSince = now();
    }
    return attempt;
  }

  /** Counts an attempt as ended. */
  public void attemptEnded(Attempt attempt) {
    Host host = attempt.host;
    host.inFlight--;
    host.inFlightAtEjection = Math.min(host.inFlightAtEjection, host.inFlight);
    attempt.estimate.inFlight--;
    loadEnded(attempt);
  }

  /**
   * A load that ended, or that a silent host will not end, no longer stands in the way of others.
   */
  public void loadEnded(Attempt attempt) {
    if (attempt.countsAsLoad) {
      attempt.countsAsLoad = false;
      if (--attempt.estimate.loadsInFlight == 0) {
        loadsInFlight--;
      }
    }
  }

  /**
   * Passes on the instances observed here: what peers observed would go in a circle and stay young.
   */
  public void exportObservations(ObservationConsumer consumer) {
    Moment now = now();
    functions.forEachEstimate(
        (function, estimate) -> {
          if (!estimate.learnedFromPeer
              && estimate.host.isReady()
              && estimate.instances(now, deployment.instanceKeepAlive()) > 0) {
            consumer.accept(
                estimate.host.id(),
                function.id,
                estimate.instances,
                now.since(estimate.lastUsedAt));
          }
        });
  }
}
