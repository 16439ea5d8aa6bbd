package flintlead.testing.scenario;

import flintlead.discovery.registry.RegistryConfig;
import flintlead.discovery.registry.RegistryDiscovery;
import flintlead.discovery.snapshot.SnapshotFile;
import flintlead.gateway.upstream.HostSpec;
import flintlead.scheduling.api.HostEntry;
import flintlead.testing.emulator.RegistryEmulator;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * The host list that the gateways follow: pushed to each after a delay of its own, or kept in an
 * emulated registry that they watch. Changed on the host loop; the list itself is read from any
 * thread.
 */
final class HostDirectory {

  private static final String KEY_PREFIX = "flintlead/hosts/";
  private static final Span MAX_SNAPSHOT_AGE = Span.ofMillis(3_600_000);

  /** The registry's watches hear of a change after this share of the list's delay. */
  private static final double WATCH_DELAY_SHARE = 0.3;

  /** Changes of one revision come in fragments of so many. */
  private static final int WATCH_FRAGMENT_SIZE = 3;

  private final RunContext context;
  private final List<GatewaySite> sites;
  private final HostNoticeLog notices;

  /** By host name; guarded by itself. */
  private final Map<String, HostSpec> published = new TreeMap<>();

  /** Null where the list is pushed. */
  private RegistryEmulator registry;

  HostDirectory(RunContext context, List<GatewaySite> sites, HostNoticeLog notices) {
    this.context = context;
    this.sites = sites;
    this.notices = notices;
  }

  /** Starts the registry where the scenario has one; before the hosts. */
  void start() throws IOException {
    if (context.scenario.registry() != null) {
      Address address = new Address.Unix(context.directory.resolve("registry.sock"));
      registry = new RegistryEmulator(address, context.hostLoop);
      registry.watchDelay = context.scenario.hostListDelay().times(WATCH_DELAY_SHARE);
      registry.fragmentSize = WATCH_FRAGMENT_SIZE;
      registry.start();
    }
  }

  /** The emulated registry; null where the list is pushed. */
  RegistryEmulator registry() {
    return registry;
  }

  /** Adds a host before any gateway has started. */
  void addInitial(HostSpec spec) {
    published.put(spec.name(), spec);
  }

  /** Makes the initial hosts known to the registry; before any gateway has started. */
  void publishInitial() {
    if (registry != null) {
      Map<String, String> all = new TreeMap<>();
      published.forEach((name, spec) -> all.put(KEY_PREFIX + name, registryValue(spec)));
      RunContext.runOn(context.hostLoop, () -> registry.commit(all));
    }
  }

  /** What is listed of a host; null where it is not listed. */
  HostSpec get(String host) {
    synchronized (published) {
      return published.get(host);
    }
  }

  private List<HostSpec> snapshot() {
    synchronized (published) {
      return new ArrayList<>(published.values());
    }
  }

  // ---- changes ----

  /** Adds or changes a host; the gateways are notified later, each after a delay of its own. */
  void publish(HostSpec spec) {
    change(spec.name(), spec);
  }

  /** Removes a host; otherwise as {@link #publish}. */
  void remove(String host) {
    change(host, null);
  }

  private void change(String host, HostSpec spec) {
    synchronized (published) {
      if (spec == null) {
        published.remove(host);
      } else {
        published.put(host, spec);
      }
    }
    if (registry != null) {
      Map<String, String> changes = new HashMap<>();
      changes.put(KEY_PREFIX + host, spec == null ? null : registryValue(spec));
      registry.commit(changes);
    } else {
      sites.forEach(this::pushLater);
    }
  }

  private void pushLater(GatewaySite site) {
    Span delay = context.scenario.hostListDelay().times(0.5 + context.scriptRandom.nextDouble());
    context.hostLoop.scheduleAfter(
        delay,
        () -> {
          if (site.up && !context.isEnding()) {
            push(site);
          }
        });
  }

  private void push(GatewaySite site) {
    List<HostSpec> list = snapshot();
    notices.record(site.name, list, context.environment.now());
    site.gateway.replaceHosts(list);
  }

  // ---- gateways ----

  /** A gateway has started: it is given the list now, or begins to watch the registry. */
  void subscribe(GatewaySite site) {
    if (registry == null) {
      push(site);
    } else {
      watchRegistry(site);
    }
  }

  private void watchRegistry(GatewaySite site) {
    String gateway = site.name;
    FaultyDisk disk = context.environment.disk(site.diskName());
    SnapshotFile snapshot =
        disk == null
            ? null
            : new SnapshotFile(disk, "hosts.snapshot", MAX_SNAPSHOT_AGE, message -> {});
    RegistryConfig config =
        RegistryConfig.withDefaults(
            context.scenario.registry(), List.of(registry.address()), KEY_PREFIX);
    site.gateway.withHandler(
        taker ->
            new RegistryDiscovery(
                    taker.loop(),
                    taker.transport(),
                    config,
                    new Random(context.seed * 17 + site.index),
                    context.environment::epochMillis,
                    snapshot,
                    Runnable::run,
                    RegistryDiscovery.context(
                        taker::lastHeardAt,
                        taker::probe,
                        specs -> {
                          notices.record(gateway, specs, context.environment.now());
                          taker.replaceHosts(specs);
                        },
                        taker.leases(),
                        message -> {}),
                    null)
                .start());
  }

  private String registryValue(HostSpec spec) {
    Environment environment = context.environment;
    long startedEpochMs =
        spec.startedAt().micros() == 0
            ? 0
            : environment.epochMillis() - environment.now().since(spec.startedAt()).micros() / 1000;
    String state = spec.state().name().toLowerCase(Locale.ROOT);
    return "{\"address\":\""
        + spec.addresses().get(0)
        + "\",\"zone\":"
        + spec.zone()
        + ",\"cell\":"
        + spec.cell()
        + ",\"state\":\""
        + state
        + "\",\"startedEpochMs\":"
        + startedEpochMs
        + "}";
  }

  /** Whether the host is listed as draining. */
  boolean isDraining(String host) {
    HostSpec spec = get(host);
    return spec != null && spec.state() == HostEntry.State.DRAINING;
  }
}
