package flintlead.platform;

import flintlead.platform.downstream.InvocationHandler;
import flintlead.platform.journal.HostEventProcessor;
import flintlead.platform.upstream.ConnectionPools;
import flintlead.routing.admission.AdmissionController;
import flintlead.routing.guard.InvariantMonitor;
import flintlead.routing.guard.InvocationGuard;
import flintlead.routing.guard.RecentInvocations;
import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.StateLimits;
import flintlead.scheduling.lease.HostLeases;
import flintlead.time.Span;
import flintlead.transport.fair.LoopActivity;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.RepeatingTask;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import org.slf4j.Logger;

/**
 * Assembles the scheduler of one gateway with the components that connect it to clients and hosts.
 * Used on the event loop only.
 */
final class PlatformGateway {

  private static final Span HOST_LIST_CHECK_INTERVAL = Span.ofMillis(100);
  private static final Span SUMMARY_INTERVAL = Span.ofMillis(5_000);

  private final EventExecutor loop;
  private final Supplier<LoopActivity> activity;
  private final ConnectionPools pools;
  private final Logger log;
  private final TrafficCounters counters = new TrafficCounters();
  private final HostLeases leases;
  private final InvariantMonitor monitor;
  private final InvocationGuard guard;
  private final InvocationRegistry registry;
  private final InvocationService invocations;
  private final HostListUpdater hosts;

  /**
   * Settings of one gateway.
   *
   * @param deployment the deployment as passed to the scheduler
   * @param triggerTypeNames names of the trigger types in the host protocol, by index
   * @param probeTimeout how long to wait for the response to a probe
   * @param admission limits on the invocations that are accepted
   * @param stateLimits limits of what the scheduler remembers
   * @param recentIdBytes heap for the ids of invocations that must not run twice
   * @param seed seed of the gateway's random choices
   */
  record Settings(
      Deployment deployment,
      List<String> triggerTypeNames,
      Span probeTimeout,
      AdmissionController.Limits admission,
      StateLimits stateLimits,
      long recentIdBytes,
      long seed) {}

  /**
   * Creates a gateway.
   *
   * @param activity with whom the event loop spent its time since the last call
   */
  PlatformGateway(
      EventExecutor loop,
      Supplier<LoopActivity> activity,
      ConnectionPools pools,
      Settings settings,
      Logger log) {
    this.loop = loop;
    this.activity = activity;
    this.pools = pools;
    this.log = log;
    Deployment deployment = settings.deployment();
    Random random = new Random(settings.seed());
    AdmissionController admission =
        new AdmissionController(settings.admission(), new Random(random.nextLong()));
    HostFeedback feedback = new HostFeedback(deployment);
    this.leases = pools.guard().leases();
    this.monitor = pools.guard().monitor();
    this.guard = new InvocationGuard(monitor);
    RecentInvocations recent = new RecentInvocations(settings.recentIdBytes());
    Span slack = deployment.answerSlack();
    this.registry = new InvocationRegistry(loop, admission, guard, recent, slack, log);
    PlatformSchedulerContext context =
        new PlatformSchedulerContext(
            loop,
            registry,
            new AttemptRunner(loop, pools, deployment, registry, counters, feedback, guard),
            new HostOperations(loop, pools, deployment.loadTimeout(), settings.probeTimeout()),
            feedback,
            leases,
            counters,
            log,
            deployment,
            settings.stateLimits(),
            random.nextLong());
    this.invocations =
        new InvocationService(
            loop, registry, guard, context.scheduler(), counters, settings.triggerTypeNames(), log);
    this.hosts = new HostListUpdater(pools, context.scheduler(), log);
    invocations.startOverdueChecks();
    RepeatingTask.start(loop, HOST_LIST_CHECK_INTERVAL, () -> leases.notifyListChanges(loop.now()));
    RepeatingTask.start(loop, SUMMARY_INTERVAL, this::logSummary);
  }

  private void logSummary() {
    counters.logAndReset(
        log,
        new TrafficCounters.State(
            openCount(),
            pools.connections(),
            pools.takeDeferredSends(),
            pools.takeUnrequestedResponses(),
            leases.takeRefusals(),
            activity.get(),
            monitor));
  }

  /** Records that the process was stalled: it did not poll its sockets for that long. */
  void recordStall(Span length) {
    guard.recordStall(loop.polls().readClock());
    counters.recordStall(length);
    log.atInfo()
        .addKeyValue("length_ms", length.micros() / 1000)
        .addKeyValue("open", openCount())
        .log("process_stood_still");
  }

  /** Records that the event loop was busy for that long and did not poll its sockets. */
  void recordBusyTurn(Span length, Span processorTime, String slowestPeer) {
    log.atInfo()
        .addKeyValue("length_ms", length.micros() / 1000)
        .addKeyValue("cpu_ms", processorTime.micros() / 1000)
        .addKeyValue("slowest_peer", slowestPeer)
        .addKeyValue("open", openCount())
        .log("event_loop_busy");
  }

  /** Returns the traffic counters, which also count closed client connections. */
  TrafficCounters counters() {
    return counters;
  }

  /** Returns the monitor that counts invariant violations. */
  InvariantMonitor monitor() {
    return monitor;
  }

  /** Returns the handler of clients' invocations. */
  InvocationHandler invocations() {
    return invocations;
  }

  /** Returns the receiver of host list changes. */
  HostEventProcessor.Listener hosts() {
    return hosts;
  }

  /** Number of invocations without a response. */
  int openCount() {
    return registry.openCount();
  }

  /** Sends every invocation without a response its final response now. Later ones are rejected. */
  void abandonAll() {
    invocations.abandonAll();
  }
}
