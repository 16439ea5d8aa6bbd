package flintlead.testing.scenario;

import flintlead.discovery.registry.RegistryConfig;
import flintlead.gateway.Flintlead;
import flintlead.gateway.downstream.ClientFront;
import flintlead.gateway.downstream.FrontLimits;
import flintlead.membership.peer.ObservationStore;
import flintlead.membership.peer.PeerConfig;
import flintlead.membership.peer.PeerGatewayAdapter;
import flintlead.membership.peer.PeerService;
import flintlead.routing.pool.Layout;
import flintlead.routing.pool.LayoutTransition;
import flintlead.scheduling.api.SchedulingPolicyFactory;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * Starts, kills and stops the gateways of a scenario, and moves them from one pool layout to the
 * next.
 */
final class GatewayFleet {

  /** The first so many gateways are the seeds of the membership. */
  private static final int MEMBERSHIP_SEEDS = 3;

  private static final Span DRAIN_TIMEOUT = Span.ofMillis(200);
  private static final Span STOP_POLL = Span.ofMillis(10);
  private static final int MAX_STOP_POLLS = 200;

  private final RunContext context;
  private final HostDirectory directory;
  private final List<GatewaySite> sites;
  private final Map<Integer, Address.Udp> seedAddresses = new ConcurrentSkipListMap<>();

  /** Null for the scheduling policy that is shipped. */
  private SchedulingPolicyFactory policy;

  /**
   * How far the pools have passed from one layout into the other; a restarted gateway begins with
   * it.
   */
  private volatile LayoutTransition transition;

  /**
   * An empty fleet.
   *
   * @param sites filled as gateways are added
   */
  GatewayFleet(RunContext context, HostDirectory directory, List<GatewaySite> sites) {
    this.context = context;
    this.directory = directory;
    this.sites = sites;
    this.transition = LayoutTransition.of(context.scenario.poolSchedule().layout());
  }

  List<GatewaySite> sites() {
    return sites;
  }

  void usePolicy(SchedulingPolicyFactory other) {
    policy = other;
  }

  /** A random share of the gateways, one at least. */
  List<GatewaySite> select(double fraction) {
    List<GatewaySite> chosen = new ArrayList<>(sites);
    Collections.shuffle(chosen, context.scriptRandom);
    return chosen.subList(0, (int) Math.max(1, Math.round(fraction * sites.size())));
  }

  // ---- start and stop ----

  /** Starts a further gateway. Not from an event loop. */
  GatewaySite add(int index) throws IOException {
    GatewaySite site = new GatewaySite(index);
    sites.add(site);
    start(site);
    return site;
  }

  /** Starts the site's gateway under a new name. Not from an event loop. */
  void restart(GatewaySite site) throws IOException {
    site.incarnation++;
    start(site);
  }

  private void start(GatewaySite site) throws IOException {
    Scenario scenario = context.scenario;
    site.name = "gw-" + site.index + (site.incarnation == 0 ? "" : "." + site.incarnation);
    site.loop = context.environment.eventLoop(site.name, site.index % scenario.halls());
    Flintlead.Builder builder =
        Flintlead.of(
                scenario.gatewayConfig().forGateway(site.name, site.index, scenario.gateways()))
            .seed(context.seed * 31 + site.index)
            .runOn(site.loop);
    if (scenario.registry() != null) {
      builder.hostsFromRegistry(RegistryConfig.DEFAULT_WATCH_IDLE_TIMEOUT);
    }
    builder = scenario.peers() ? builder.withPeers() : builder;
    site.gateway = (policy == null ? builder : builder.scheduledBy(policy)).start();
    if (scenario.peers()) {
      joinMembership(site);
    }
    site.gateway.withHandler(taker -> taker.applyLayouts(transition, null));
    keepObservations(site);
    directory.subscribe(site);
    site.clientAddress = openClientAddress(site, context.directory.resolve(site.name + ".sock"));
    site.up = true;
  }

  /** Opens one more address for clients of a gateway. */
  Address openClientAddress(GatewaySite site, Path socket) throws IOException {
    return ClientFront.open(site.gateway, new Address.Unix(socket), FrontLimits.DEFAULTS);
  }

  private void keepObservations(GatewaySite site) {
    FaultyDisk disk =
        context.scenario.persistsObservations() ? context.environment.disk(site.diskName()) : null;
    if (disk != null) {
      site.gateway.withHandler(
          taker ->
              new ObservationStore(
                      taker.loop(),
                      new PeerGatewayAdapter(taker, any -> {}),
                      disk,
                      site.diskName(),
                      Runnable::run,
                      context.environment::epochMillis,
                      context.scenario.gatewayConfig().hosts().instanceKeepAlive())
                  .start());
    }
  }

  /** Each incarnation has a port of its own, as the one before may still be bound. */
  private void joinMembership(GatewaySite site) throws IOException {
    PeerConfig config =
        PeerConfig.defaults(
            new Address.Udp("127.0.0.1", 0), new ArrayList<>(seedAddresses.values()));
    CompletableFuture<PeerGatewayAdapter> created = new CompletableFuture<>();
    site.gateway.withHandler(taker -> created.complete(new PeerGatewayAdapter(taker, any -> {})));
    PeerGatewayAdapter adapter = created.join();
    PeerService.open(
        site.loop,
        config,
        site.diskName(),
        site.index,
        context.environment.epochMillis(),
        adapter,
        context.seed * 13 + site.index + 1,
        peers -> {
          adapter.connect(peers);
          site.peers = peers;
          if (site.index < MEMBERSHIP_SEEDS) {
            seedAddresses.put(site.index, peers.address());
          }
        });
  }

  /**
   * Kills the gateway's process: its connections break and nothing is saved. Not from its event
   * loop.
   */
  void kill(GatewaySite site) {
    site.gateway.kill();
    site.loop.close();
  }

  /** Stops all gateways that are up and closes their event loops. */
  void stopAll() {
    for (GatewaySite site : sites) {
      if (site.up) {
        CompletableFuture<?> stopped = site.gateway.stop(DRAIN_TIMEOUT);
        for (int i = 0; i < MAX_STOP_POLLS && !stopped.isDone(); i++) {
          context.environment.advance(STOP_POLL);
        }
      }
      if (site.loop != null) {
        site.loop.close();
      }
    }
  }

  // ---- pool layouts ----

  /** Schedules the scenario's change of layout, if it has one. On the host loop. */
  void scheduleLayoutChange() {
    PoolSchedule.LayoutChange shift = context.scenario.poolSchedule().change();
    if (shift == null) {
      return;
    }
    Layout from = context.scenario.poolSchedule().layout();
    for (int i = 1; i <= shift.steps(); i++) {
      LayoutTransition next =
          new LayoutTransition(from, shift.target(), (double) i / shift.steps());
      context.hostLoop.scheduleAfter(
          shift.startsAt().plus(shift.stepInterval().times(i - 1)), () -> apply(next));
    }
    if (shift.revertsAt().micros() > 0) {
      context.hostLoop.scheduleAfter(shift.revertsAt(), () -> apply(LayoutTransition.of(from)));
    }
  }

  /** Each gateway takes the layout over after a delay of its own, as it does a host list. */
  private void apply(LayoutTransition next) {
    transition = next;
    for (GatewaySite site : sites) {
      Span delay = context.scenario.hostListDelay().times(context.scriptRandom.nextDouble());
      context.hostLoop.scheduleAfter(
          delay,
          () -> {
            if (site.up && !context.isEnding()) {
              site.gateway.withHandler(taker -> taker.applyLayouts(next, null));
            }
          });
    }
  }
}
