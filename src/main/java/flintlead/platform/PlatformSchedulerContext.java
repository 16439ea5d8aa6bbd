package flintlead.platform;

import flintlead.platform.downstream.InvocationHandler;
import flintlead.scheduling.Scheduler;
import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.SchedulerContext;
import flintlead.scheduling.api.SchedulingPolicy;
import flintlead.scheduling.api.StateLimits;
import flintlead.scheduling.lease.HostLeases;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import java.util.function.Consumer;
import org.slf4j.Logger;

/**
 * Connects {@link Scheduler} to the platform's gateway: delegates each of its requests to the
 * responsible class, and makes no decisions. Used on the event loop only.
 */
final class PlatformSchedulerContext implements SchedulerContext {

  private final EventExecutor loop;
  private final InvocationRegistry registry;
  private final AttemptRunner attempts;
  private final HostOperations operations;
  private final HostFeedback feedback;
  private final HostLeases leases;
  private final TrafficCounters counters;
  private final Logger log;
  private final StateLimits limits;
  private final SchedulingPolicy scheduler;

  /**
   * Creates the context and its scheduler.
   *
   * @param leases leases of the hosts
   * @param seed seed of the scheduler's random choices
   * @param log receives {@code scheduler_message}
   */
  PlatformSchedulerContext(
      EventExecutor loop,
      InvocationRegistry registry,
      AttemptRunner attempts,
      HostOperations operations,
      HostFeedback feedback,
      HostLeases leases,
      TrafficCounters counters,
      Logger log,
      Deployment deployment,
      StateLimits limits,
      long seed) {
    this.loop = loop;
    this.registry = registry;
    this.attempts = attempts;
    this.operations = operations;
    this.feedback = feedback;
    this.leases = leases;
    this.counters = counters;
    this.log = log;
    this.limits = limits;
    this.scheduler = new Scheduler(this, deployment, seed);
  }

  SchedulingPolicy scheduler() {
    return scheduler;
  }

  @Override
  public Moment now() {
    return loop.now();
  }

  @Override
  public Runnable schedule(Moment when, Runnable then) {
    return loop.scheduleAt(when, then);
  }

  @Override
  public void log(String line) {
    log.atInfo().addKeyValue("text", line).log("scheduler_message");
  }

  @Override
  public HostLeases leases() {
    return leases;
  }

  @Override
  public StateLimits stateLimits() {
    return limits;
  }

  // ---- invocations ----

  @Override
  public void dispatch(long invocation, long host, Moment abandonAt) {
    attempts.start(registry.find(invocation), host, abandonAt);
  }

  @Override
  public void cancel(long invocation, int dispatch) {
    PendingInvocation found = registry.find(invocation);
    if (found != null) {
      attempts.cancel(found, dispatch);
    }
  }

  @Override
  public void throttle(long invocation, Span retryIn) {
    counters.throttled();
    respond(invocation, "throttled", client -> client.throttled(retryIn));
  }

  @Override
  public void fail(long invocation) {
    counters.errored();
    respond(invocation, "errored", InvocationHandler.ResponseCallback::errored);
  }

  private void respond(
      long invocation, String outcome, Consumer<InvocationHandler.ResponseCallback> response) {
    PendingInvocation found = registry.find(invocation);
    registry.respond(found, outcome, response);
    registry.releaseIfFinished(found);
  }

  // ---- hosts ----

  @Override
  public void load(long host, long function, int copies) {
    operations.load(
        host,
        function,
        copies,
        (outcome, elapsed, fields) ->
            scheduler.loadCompleted(host, function, outcome, elapsed, fields.getInt("units", 0)));
  }

  @Override
  public void unload(long host, long function) {
    operations.unload(host, function);
  }

  @Override
  public void probe(long host) {
    operations.probe(
        host,
        (outcome, elapsed, fields) ->
            scheduler.probeCompleted(host, outcome, elapsed, feedback.loadReport(fields)));
  }

  @Override
  public void closeIdle(long host) {
    operations.closeIdleConnections(host);
  }

  @Override
  public void subscribeHosts(boolean active) {
    // Nothing to do: the journal is watched from startup on.
  }

  @Override
  public void fetchHosts() {
    // Nothing to do: the journal is watched from startup on.
  }

  // ---- other gateways ----

  @Override
  public void sendGossip(int gateway, byte[] words) {
    // Not supported: the platform has no channel between gateways.
  }

  @Override
  public void broadcastGossip(byte[] words) {
    // Not supported: the platform has no channel between gateways.
  }
}
