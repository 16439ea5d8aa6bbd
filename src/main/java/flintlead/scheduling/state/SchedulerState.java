package flintlead.scheduling.state;

import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.InvocationSpec;
import flintlead.scheduling.api.SchedulerContext;
import flintlead.scheduling.api.SchedulingPolicy.ObservationConsumer;
import flintlead.scheduling.api.StateLimits;
import flintlead.scheduling.lease.HostLeases;
import flintlead.time.Moment;
import java.util.Random;

/**
 * State shared by the parts of one gateway's scheduler. Not thread-safe; used on the gateway's
 * event loop only.
 */
public final class SchedulerState {

  public final SchedulerContext context;
  public final Deployment deployment;
  public final Random random;
  public final HostTable hosts;
  public final FunctionTable functions;
  public final HashWalks hashWalks;
  public final LoadOrders loadOrders = new LoadOrders();

  /** Leases that decide whether new work may be sent to a host. */
  public final HostLeases leases;

  /** Number of gateways that share the hosts; at least the configured number. */
  public int gateways;

  /** Number of function and host pairs with loads of this gateway in flight. */
  public int loadsInFlight;

  /** Creates the state of a gateway that knows no hosts yet. */
  public SchedulerState(SchedulerContext context, Deployment deployment, long seed) {
    StateLimits limits = context.stateLimits();
    this.context = context;
    this.deployment = deployment;
    this.leases = context.leases();
    this.random = new Random(seed);
    this.hosts = new HostTable(limits.departedHosts());
    this.functions = new FunctionTable(limits.functions(), limits.estimates());
    this.hashWalks = new HashWalks(limits.hashWalkHosts());
    this.gateways = Math.max(1, deployment.gateways());
  }

  /** Returns the current time of the gateway's clock. */
  public Moment now() {
    return context.now();
  }

  /** Creates the state of an invocation that is submitted now. */
  public InvocationState newInvocation(long id, InvocationSpec spec, InvocationListener events) {
    FunctionState function = functions.getOrCreate(spec.function());
    InvocationState invocation =
        new InvocationState(
            id, spec, deployment.triggerTypes().get(spec.triggerType()), function, now(), events);
    invocation.placementDraw = random.nextDouble();
    return invocation;
  }

  /** Creates an attempt that is sent now and counts it as in flight. */
  public Attempt newAttempt(InvocationState invocation, Host host, boolean warm) {
    InstanceEstimate estimate = functions.getOrCreateEstimate(invocation.function, host);
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

  /** Removes an attempt that ended from the counts of attempts in flight. */
  public void attemptEnded(Attempt attempt) {
    Host host = attempt.host;
    host.inFlight--;
    host.inFlightAtEjection = Math.min(host.inFlightAtEjection, host.inFlight);
    attempt.estimate.inFlight--;
    stopCountingLoad(attempt);
  }

  /**
   * Removes an attempt from the loads in flight when it ended or its host is silent, so that it
   * does not block further loads. Does nothing for an attempt that is not counted.
   */
  public void stopCountingLoad(Attempt attempt) {
    if (attempt.countsAsLoad) {
      attempt.countsAsLoad = false;
      if (--attempt.estimate.loadsInFlight == 0) {
        loadsInFlight--;
      }
    }
  }

  /**
   * Passes this gateway's own observations of loaded instances to the consumer. Those learned from
   * peers are left out: they would circulate among the gateways and never expire.
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
