package flintlead.gateway;

import flintlead.gateway.upstream.HostLink;
import flintlead.gateway.upstream.UpstreamContext;
import flintlead.gateway.upstream.UpstreamLimits;
import flintlead.ids.FunctionNames;
import flintlead.ids.NameHash;
import flintlead.routing.admission.AdmissionController;
import flintlead.routing.guard.HostSendGuard;
import flintlead.routing.guard.InvariantMonitor;
import flintlead.routing.guard.InvocationGuard;
import flintlead.routing.pending.PendingResponses;
import flintlead.routing.pool.PoolRouter;
import flintlead.scheduling.api.SchedulingPolicy;
import flintlead.scheduling.api.SchedulingPolicyFactory;
import flintlead.scheduling.api.StateLimits;
import flintlead.scheduling.lease.HostLeases;
import flintlead.scheduling.lease.LeaseTerms;
import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Transport;
import java.util.Random;
import org.slf4j.Logger;

/**
 * The parts of one gateway on its event loop, wired to each other. The scheduler is told what
 * happens, and its requests are carried out, one event at a time.
 */
final class GatewayCore implements InvocationService.Events {

  /**
   * Function names remembered, to name numbers again and to notice two with one number, for each
   * function that the scheduler remembers; it keeps busy ones longer.
   */
  private static final int NAMES_PER_FUNCTION = 2;

  private static final int BASE_36 = 36;

  /**
   * What a gateway runs on and with.
   *
   * @param stateLimits limits of what the scheduler remembers
   * @param usedTokenBytes heap for the tokens of invocations that must not run twice
   * @param seed of all chance in the gateway
   * @param peers whether there are other gateways to gossip with
   * @param registrySilence how long the registry that the hosts come from may say nothing; null
   *     where whoever gives the hosts answers for the list being current
   */
  record Environment(
      EventExecutor loop,
      Transport transport,
      AdmissionController.Limits admission,
      UpstreamLimits upstream,
      StateLimits stateLimits,
      long usedTokenBytes,
      long seed,
      Logger log,
      SchedulingPolicyFactory schedulerFactory,
      boolean peers,
      Span registrySilence) {}

  private final GatewayConfig config;
  private final EventTimers timers;
  private final AdmissionController admission;
  private final PendingResponses<InvocationResponse> responses;
  private final InvariantMonitor invariants;
  private final PoolRouter router;
  private final SchedulingPolicy scheduler;
  private final CoreSchedulerContext context;
  private final InvocationService invocations;
  private final HostLinks links = new HostLinks();
  private final HostDirectory hosts;
  private final HostCommands commands;
  private final PeerObservations observations;
  private final Housekeeping housekeeping;
  private final Counters counters = new Counters();

  GatewayCore(GatewayConfig config, Environment environment) {
    this.config = config;
    this.timers = new EventTimers(environment.loop());
    this.observations = new PeerObservations(timers);
    Logger log = environment.log();
    // The order of draws from this generator is part of a seed's meaning.
    Random random = new Random(environment.seed());
    this.admission =
        new AdmissionController(environment.admission(), new Random(random.nextLong()));
    this.responses = pendingResponses(log);
    this.invariants = invariantMonitor(log);
    this.router = router(environment, new Random(random.nextLong()));
    String tokenPrefix =
        config.gatewayName() + "-" + Long.toString(random.nextLong() >>> 1, BASE_36) + "-";
    HostLeases leases = hostLeases(environment);
    this.context = new CoreSchedulerContext(timers, leases, environment.stateLimits(), log);
    this.scheduler =
        environment
            .schedulerFactory()
            .create(context, config.deployment(environment.peers()), random.nextLong());
    FunctionNames functions =
        new FunctionNames(
            NAMES_PER_FUNCTION * environment.stateLimits().functions(), NameHash::function);
    this.invocations =
        invocationService(functions, new UsedTokens(environment.usedTokenBytes()), tokenPrefix);
    AttemptDispatcher attempts = new AttemptDispatcher(timers, invocations, links, counters);
    this.commands = new HostCommands(timers, links, functions, config.hosts(), scheduler, counters);
    context.connect(invocations, attempts, commands);
    HostSendGuard guard = new HostSendGuard(leases, invariants);
    this.hosts = hostDirectory(upstream(environment, guard, random));
    this.housekeeping = new Housekeeping(timers, invocations, attempts, links);
  }

  private PendingResponses<InvocationResponse> pendingResponses(Logger log) {
    return new PendingResponses<>(
        config.rules().answerSlack(),
        detail -> log.atError().addKeyValue("detail", detail).log("pending_response_fault"));
  }

  private PoolRouter router(Environment environment, Random random) {
    Logger log = environment.log();
    return new PoolRouter(
        environment.admission().maxInvocations(),
        random,
        timers.now(),
        detail -> log.atWarn().addKeyValue("detail", detail).log("pool_turn"));
  }

  private static InvariantMonitor invariantMonitor(Logger log) {
    return new InvariantMonitor(
        (invariant, id, detail) ->
            log.atError()
                .addKeyValue("invariant", invariant.key())
                .addKeyValue("id", id)
                .addKeyValue("detail", detail)
                .log("invariant_violated"));
  }

  private InvocationService invocationService(
      FunctionNames functions, UsedTokens usedTokens, String tokenPrefix) {
    InvocationService.Parts parts =
        new InvocationService.Parts(
            config,
            timers,
            new InvocationValidator(config, functions),
            admission,
            router,
            responses,
            counters,
            scheduler,
            new InvocationGuard(invariants),
            usedTokens,
            tokenPrefix);
    return new InvocationService(parts, this);
  }

  private HostDirectory hostDirectory(UpstreamContext upstream) {
    return new HostDirectory(
        config.rules(), timers, links, upstream, router, scheduler, observations);
  }

  private HostLeases hostLeases(Environment environment) {
    if (environment.registrySilence() == null) {
      return HostLeases.ofAuthoritativeList();
    }
    int gateways = config.deployment(environment.peers()).gateways();
    LeaseTerms terms =
        new LeaseTerms(config.rules().drainGrace(), environment.registrySilence(), true, gateways);
    return new HostLeases(terms, new LeaseLog(environment.log(), this::hostName));
  }

  private String hostName(long host) {
    HostLink link = links.find(host);
    return link == null ? Long.toHexString(host) : link.spec().name();
  }

  private UpstreamContext upstream(Environment environment, HostSendGuard guard, Random random) {
    return UpstreamContext.of(
        config.gatewayName(),
        environment.loop(),
        environment.transport(),
        environment.upstream(),
        links,
        guard,
        random,
        environment.log());
  }

  GatewayConfig config() {
    return config;
  }

  EventExecutor loop() {
    return timers.loop();
  }

  AdmissionController admission() {
    return admission;
  }

  PoolRouter router() {
    return router;
  }

  SchedulingPolicy scheduler() {
    return scheduler;
  }

  InvocationService invocations() {
    return invocations;
  }

  HostDirectory hosts() {
    return hosts;
  }

  HostCommands commands() {
    return commands;
  }

  CoreSchedulerContext schedulerContext() {
    return context;
  }

  /** How many accepted invocations have no response yet. */
  int pendingResponses() {
    return responses.size();
  }

  /** What has been counted so far. */
  CountersSnapshot counters() {
    return counters.snapshot(responses, invariants, invocations.all().size());
  }

  /** Another gateway observed the instances, that long ago. */
  void mergeObservation(long host, long function, int instances, Span age) {
    if (links.isEmpty()) {
      observations.keep(host, function, instances, age);
    } else {
      scheduler.mergeObservation(host, function, instances, age);
    }
  }

  @Override
  public void invocationAccepted() {
    housekeeping.schedule();
  }

  @Override
  public void poolsReleased() {
    hosts.refreshPools();
  }

  /** Drops every connection; nothing happens here any more. */
  void close() {
    timers.close();
    links.close();
  }
}
