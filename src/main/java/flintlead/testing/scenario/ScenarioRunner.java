package flintlead.testing.scenario;

import flintlead.ids.NameHash;
import flintlead.scheduling.api.SchedulingPolicyFactory;
import flintlead.testing.emulator.HostEmulator;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Runs a {@link Scenario}: emulated hosts on one event loop, clients on another, each gateway on
 * its own, with faults by script. Used by one thread, which is none of the event loops.
 */
public final class ScenarioRunner {

  private static final Span POLL_INTERVAL = Span.ofMillis(20);
  private static final Span END_MARGIN = Span.ofMillis(2_000);

  private final RunContext context;
  private final List<GatewaySite> sites = new ArrayList<>();
  private final List<HostEmulator> hostList = new ArrayList<>();
  private final HostNoticeLog notices = new HostNoticeLog(hostList);
  private final HostDirectory directory;
  private final HostFleet hosts;
  private final GatewayFleet gateways;
  private final InvocationGenerator generator;
  private final OutcomeRecorder outcomes;
  private final ScenarioClients clients;
  private final FaultInjector faults;

  /** Names of invoked functions by their numbers, for policies that observe hosts. */
  private final Map<Long, String> functionNames = new HashMap<>();

  private boolean observed;

  /**
   * A run on real sockets.
   *
   * @throws IllegalArgumentException when the scenario needs virtual time
   */
  public ScenarioRunner(Scenario scenario, long seed) throws IOException {
    this(scenario, seed, new RealEnvironment());
  }

  /**
   * A run in the given environment, which is closed with it.
   *
   * @throws IllegalArgumentException when the scenario needs what the environment lacks
   */
  public ScenarioRunner(Scenario scenario, long seed, Environment environment) throws IOException {
    requireSupported(scenario, environment);
    context = new RunContext(scenario, seed, environment);
    directory = new HostDirectory(context, sites, notices);
    hosts = new HostFleet(context, directory, hostList);
    gateways = new GatewayFleet(context, directory, sites);
    generator = new InvocationGenerator(context);
    outcomes = new OutcomeRecorder(context);
    clients = new ScenarioClients(context, sites, generator, outcomes, this::functionInvoked);
    faults = new FaultInjector(context, hosts, directory, gateways, clients, generator);
  }

  private static void requireSupported(Scenario scenario, Environment environment) {
    for (Fault fault : scenario.faults()) {
      String kind = fault.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
      if (fault.kind().needsVirtualTime() && environment.networkFaults() == null) {
        throw new IllegalArgumentException(
            "trouble " + kind + " needs virtual time: use lab replay");
      }
      if (fault.kind().needsRegistry() && scenario.registry() == null) {
        throw new IllegalArgumentException(
            "trouble " + kind + " needs a day with a registry: add registry: etcd");
      }
    }
  }

  // ---- before the run ----

  /** Lets the gateways schedule by another policy than the one that is shipped; before the run. */
  public void useSchedulingPolicy(SchedulingPolicyFactory policy) {
    gateways.usePolicy(policy);
    observed = true;
  }

  /** Records invocations and host states there; before the run. */
  public void recordTo(EventRecorder recorder) {
    outcomes.recordTo(recorder);
  }

  /** Observes the hosts directly, as no gateway can. */
  public HostObserver hostObserver() {
    return (host, function) -> {
      HostEmulator observedHost = hosts.byNumber(host);
      String name = functionNames.get(function);
      return observedHost == null || name == null ? null : observedHost.observe(name);
    };
  }

  private void functionInvoked(String function) {
    if (observed) {
      functionNames.putIfAbsent(NameHash.function(function), function);
    }
  }

  // ---- the run ----

  /**
   * Runs the scenario to its end and audits it. Takes as long as the scenario lasts, plus the
   * longest client timeout for each attempt and a few seconds at most. Closes everything.
   */
  public ScenarioResult run() throws IOException {
    try {
      start();
      RunContext.runOn(context.hostLoop, this::scheduleScript);
      context.markStarted();
      RunContext.runOn(context.clientLoop, this::startClients);
      awaitEnd();
      return new ResultCollector(context, hosts, gateways, clients, outcomes)
          .collect(generator.count(), notices, faults);
    } finally {
      close();
    }
  }

  /** Starts hosts, gateways and clients, without traffic and without faults. */
  public void start() throws IOException {
    directory.start();
    hosts.start();
    for (int i = 0; i < context.scenario.gateways(); i++) {
      GatewaySite site = gateways.add(i);
      RunContext.runOn(context.clientLoop, () -> clients.connect(site));
    }
  }

  private void scheduleScript() {
    faults.scheduleAll();
    gateways.scheduleLayoutChange();
  }

  private void startClients() {
    clients.startTraffic();
    if (outcomes.recorder() != null) {
      new FleetSampler(context, hosts, directory, outcomes.recorder()).sample();
    }
  }

  private void awaitEnd() {
    Span most =
        context
            .scenario
            .duration()
            .plus(ScenarioClients.maxDuration(context.scenario))
            .plus(END_MARGIN);
    Moment end = context.environment.now().plus(most);
    boolean[] idle = {false};
    while (!idle[0] && context.environment.now().isBefore(end)) {
      context.environment.advance(POLL_INTERVAL);
      RunContext.runOn(context.clientLoop, () -> idle[0] = clients.isIdle());
    }
  }

  /** Where clients connect to the first gateway. */
  public Address clientAddress() {
    return sites.get(0).clientAddress;
  }

  /** Opens one more address for clients of the first gateway. */
  public Address clientAddress(Path socket) throws IOException {
    return gateways.openClientAddress(sites.get(0), socket);
  }

  /** Stops gateways, hosts and clients, and closes the environment. */
  public void close() throws IOException {
    context.markEnding();
    gateways.stopAll();
    RunContext.runOn(context.hostLoop, () -> hostList.forEach(HostEmulator::crash));
    context.clientLoop.close();
    context.hostLoop.close();
    context.environment.close();
  }
}
