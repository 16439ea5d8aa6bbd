package flintlead.testing.scenario;

import flintlead.testing.emulator.HostEmulator;
import flintlead.testing.emulator.RegistryEmulator;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;

/**
 * Schedules the faults of a scenario and hands each to the part that it concerns. On the host loop.
 */
final class FaultInjector {

  private final RunContext context;
  private final HostFleet hosts;
  private final HostDirectory directory;
  private final GatewayFleet gateways;
  private final ScenarioClients clients;
  private final InvocationGenerator generator;
  private final HostFaultInjector hostFaults;
  private final NetworkFaultInjector networkFaults;
  private final List<Auditor.GatewayStall> stalls = Collections.synchronizedList(new ArrayList<>());

  FaultInjector(
      RunContext context,
      HostFleet hosts,
      HostDirectory directory,
      GatewayFleet gateways,
      ScenarioClients clients,
      InvocationGenerator generator) {
    this.context = context;
    this.hosts = hosts;
    this.directory = directory;
    this.gateways = gateways;
    this.clients = clients;
    this.generator = generator;
    this.hostFaults = new HostFaultInjector(context, hosts, directory);
    this.networkFaults = new NetworkFaultInjector(context, hosts, gateways);
  }

  /** The stalls of gateways so far, which excuse late responses. */
  List<Auditor.GatewayStall> stalls() {
    return List.copyOf(stalls);
  }

  /** The cuts of the network so far, which excuse late arrivals. */
  List<Auditor.LinkOutage> outages() {
    return networkFaults.outages();
  }

  /** Schedules all faults relative to now. */
  void scheduleAll() {
    for (Fault fault : context.scenario.faults()) {
      context.hostLoop.scheduleAfter(fault.startsAt(), () -> inject(fault));
    }
  }

  private void inject(Fault fault) {
    // Selected for every kind of fault: the draws that follow in the script depend on it.
    List<HostEmulator> selected = hosts.select(fault.fraction());
    switch (fault.kind()) {
      case BURST ->
          duringOnClients(
              fault,
              () -> generator.setRateFactor(fault.severity()),
              () -> generator.setRateFactor(1));
      case SCAN ->
          duringOnClients(
              fault,
              () -> generator.setOneOffShare(fault.fraction()),
              () -> generator.setOneOffShare(0));
      case GIVE_UP ->
          duringOnClients(
              fault,
              () -> generator.setShortDeadlineShare(fault.fraction()),
              () -> generator.setShortDeadlineShare(0));
      case SLOW_READER ->
          onSelectedClients(
              fault, site -> clients.stopReading(site, fault.fraction(), fault.duration()));
      case HANG_UP -> onSelectedClients(fault, site -> clients.hangUp(site, fault.fraction()));
      case GATEWAY_CRASH ->
          gateways.select(fault.fraction()).forEach(site -> crash(site, fault.episodeDuration()));
      case GATEWAY_STALL ->
          gateways.select(fault.fraction()).forEach(site -> stall(site, fault.episodeDuration()));
      case DISK_FULL ->
          duringOnDisks(fault, disk -> disk.setFull(true), disk -> disk.setFull(false));
      case DISK_ROT ->
          duringOnDisks(fault, disk -> disk.setCorrupting(true), disk -> disk.setCorrupting(false));
      case REGISTRY_COMPACT, REGISTRY_RESTART, REGISTRY_EMPTY -> injectRegistryFault(fault);
      case PARTITION, ONE_WAY, NET_SLOW, NET_LOSS -> networkFaults.inject(fault, selected);
      case DEPLOY, ZONE_LOSS, MASS_RESTART, POWER, AGEING ->
          hostFaults.injectRestart(fault, selected);
      default -> hostFaults.inject(fault, selected);
    }
  }

  // ---- clients and traffic ----

  private void duringOnClients(Fault fault, Runnable begin, Runnable end) {
    EventLoop clientLoop = context.clientLoop;
    clientLoop.execute(begin);
    context.hostLoop.scheduleAfter(fault.duration(), () -> clientLoop.execute(end));
  }

  private void onSelectedClients(Fault fault, Consumer<GatewaySite> action) {
    RunContext.runOn(context.clientLoop, () -> gateways.select(fault.fraction()).forEach(action));
  }

  // ---- gateways ----

  private void crash(GatewaySite site, Span downtime) {
    RunContext.runOn(context.clientLoop, () -> clients.gatewayKilled(site));
    gateways.kill(site);
    FaultyDisk disk = context.environment.disk(site.diskName());
    if (disk != null && context.scriptRandom.nextBoolean()) {
      disk.losePower();
    }
    context.hostLoop.scheduleAfter(
        downtime,
        () -> {
          if (!context.isEnding()) {
            context.environment.runAsync("start gateway", () -> restart(site));
          }
        });
  }

  private void restart(GatewaySite site) {
    try {
      gateways.restart(site);
      RunContext.runOn(context.clientLoop, () -> clients.reconnect(site));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void stall(GatewaySite site, Span length) {
    Environment environment = context.environment;
    Moment from = environment.now();
    String name = site.name;
    environment.stall(
        site.loop,
        length,
        () -> stalls.add(new Auditor.GatewayStall(name, from, environment.now())));
  }

  private void duringOnDisks(Fault fault, Consumer<FaultyDisk> begin, Consumer<FaultyDisk> end) {
    gateways
        .sites()
        .forEach(
            site -> {
              begin.accept(context.environment.disk(site.diskName()));
              context.hostLoop.scheduleAfter(
                  fault.duration(), () -> end.accept(context.environment.disk(site.diskName())));
            });
  }

  // ---- registry ----

  private void injectRegistryFault(Fault fault) {
    RegistryEmulator registry = directory.registry();
    switch (fault.kind()) {
      case REGISTRY_COMPACT -> {
        registry.compact(registry.revision());
        registry.dropConnections();
      }
      case REGISTRY_RESTART -> registry.restart(fault.episodeDuration(), false);
      default -> {
        registry.restart(fault.episodeDuration(), true);
        hosts.hosts().forEach(host -> registerAgain(host, fault));
      }
    }
  }

  /** Once an emptied registry is back, each host registers at a time of its own. */
  private void registerAgain(HostEmulator host, Fault fault) {
    Span delay =
        fault.episodeDuration().plus(fault.duration().times(context.scriptRandom.nextDouble()));
    context.hostLoop.scheduleAfter(
        delay,
        () -> {
          if (host.isUp() && !context.isEnding()) {
            hosts.publish(host);
          }
        });
  }
}
