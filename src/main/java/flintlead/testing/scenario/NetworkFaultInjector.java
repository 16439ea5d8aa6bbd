package flintlead.testing.scenario;

import flintlead.testing.emulator.HostEmulator;
import flintlead.time.Moment;
import flintlead.transport.loop.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Injects faults into the network between gateways and hosts, in simulated environments only. On
 * the host loop.
 */
final class NetworkFaultInjector {

  /** Of the gateways, the share that a partition concerns. */
  private static final double PARTITIONED_GATEWAYS = 0.5;

  private static final double MAX_LOSS = 0.9;

  private record Link(EventLoop gateway, EventLoop host) {}

  private final RunContext context;
  private final HostFleet hosts;
  private final GatewayFleet gateways;
  private final List<Auditor.LinkOutage> outages = new ArrayList<>();

  NetworkFaultInjector(RunContext context, HostFleet hosts, GatewayFleet gateways) {
    this.context = context;
    this.hosts = hosts;
    this.gateways = gateways;
  }

  /** The cuts so far. */
  List<Auditor.LinkOutage> outages() {
    return List.copyOf(outages);
  }

  void inject(Fault fault, List<HostEmulator> selected) {
    NetworkFaults network = context.environment.networkFaults();
    switch (fault.kind()) {
      case PARTITION ->
          cut(fault, selected, link -> network.partition(link.gateway, link.host, true));
      case ONE_WAY ->
          cut(fault, selected, link -> network.partition(link.host, link.gateway, false));
      case NET_SLOW ->
          impair(
              fault,
              gateways.sites(),
              selected,
              link -> network.setSlowdown(link.gateway, link.host, Math.max(1, fault.severity())));
      case NET_LOSS ->
          impair(
              fault,
              gateways.sites(),
              selected,
              link ->
                  network.setLoss(link.gateway, link.host, Math.min(MAX_LOSS, fault.severity())));
      default -> throw new IllegalStateException("no network fault: " + fault.kind());
    }
  }

  /**
   * Cuts the links between some gateways and the selected hosts, and records it for the auditor.
   */
  private void cut(Fault fault, List<HostEmulator> selected, Consumer<Link> cutting) {
    List<GatewaySite> sites = gateways.select(PARTITIONED_GATEWAYS);
    Moment now = context.environment.now();
    for (GatewaySite site : sites) {
      for (HostEmulator host : selected) {
        outages.add(
            new Auditor.LinkOutage(site.name, host.name(), now, now.plus(fault.duration())));
      }
    }
    impair(fault, sites, selected, cutting);
  }

  /** Impairs the links between gateways and hosts, and restores them at the end of the fault. */
  private void impair(
      Fault fault,
      List<GatewaySite> sites,
      List<HostEmulator> selected,
      Consumer<Link> impairment) {
    List<Link> links = new ArrayList<>();
    for (GatewaySite site : sites) {
      for (HostEmulator host : selected) {
        links.add(new Link(site.loop, hosts.machineOf(host)));
      }
    }
    links.forEach(impairment);
    context.hostLoop.scheduleAfter(fault.duration(), () -> links.forEach(this::restore));
  }

  private void restore(Link link) {
    NetworkFaults network = context.environment.networkFaults();
    network.heal(link.gateway, link.host);
    network.setSlowdown(link.gateway, link.host, 1);
    network.setLoss(link.gateway, link.host, 0);
  }
}
