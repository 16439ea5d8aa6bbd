package flintlead.testing.scenario;

import flintlead.gateway.GatewayConfig;
import flintlead.gateway.upstream.HostSpec;
import flintlead.ids.NameHash;
import flintlead.scheduling.api.TriggerType.Effect;
import flintlead.scheduling.api.TriggerType.Group;
import flintlead.testing.emulator.DeduplicationWindow;
import flintlead.testing.emulator.ExecutionLog;
import flintlead.testing.emulator.FunctionStore;
import flintlead.testing.emulator.HostEmulator;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The emulated hosts of a scenario, with their machines and the store they load from. On the host
 * loop.
 */
final class HostFleet {

  private static final int MAX_LOG_ENTRIES = 10_000_000;

  /** Fetches beyond this multiple of the store's concurrency are refused. */
  private static final int STORE_QUEUE_MULTIPLE = 8;

  /** How much longer than the trigger types' window hosts remember idempotency keys. */
  private static final Span DEDUPLICATION_MARGIN = Span.ofMillis(250);

  private final RunContext context;
  private final HostDirectory directory;
  private final List<HostEmulator> hosts;

  /** The event loop of each host's machine, by host name. */
  private final Map<String, EventLoop> machines = new HashMap<>();

  private final Map<Long, HostEmulator> byNumber = new HashMap<>();
  private final ExecutionLog log = new ExecutionLog(MAX_LOG_ENTRIES);
  private final FunctionStore store;

  /**
   * An empty fleet.
   *
   * @param hosts filled when the fleet starts
   */
  HostFleet(RunContext context, HostDirectory directory, List<HostEmulator> hosts) {
    this.context = context;
    this.directory = directory;
    this.hosts = hosts;
    int concurrency = context.scenario.storeConcurrency();
    this.store =
        new FunctionStore(context.hostLoop, concurrency, STORE_QUEUE_MULTIPLE * concurrency);
  }

  List<HostEmulator> hosts() {
    return hosts;
  }

  FunctionStore store() {
    return store;
  }

  ExecutionLog log() {
    return log;
  }

  EventLoop machineOf(HostEmulator host) {
    return machines.get(host.name());
  }

  /** The host with the number that gateways know it by; null for none. */
  HostEmulator byNumber(long number) {
    return byNumber.get(number);
  }

  int zone(String host) {
    return number(host) % context.scenario.zones();
  }

  int cell(String host) {
    return number(host) % context.scenario.cells();
  }

  private static int number(String host) {
    return Integer.parseInt(host.substring(host.lastIndexOf('-') + 1));
  }

  // ---- start ----

  /** Starts all hosts, warm, and lists them. Not from the host loop. */
  void start() throws IOException {
    Span window =
        context.scenario.gatewayConfig().triggerTypes().stream()
            .map(GatewayConfig.Trigger::window)
            .reduce(Span.ZERO, Span::longer)
            .plus(DEDUPLICATION_MARGIN);
    Map<Integer, DeduplicationWindow> groups = new HashMap<>();
    for (int i = 0; i < context.scenario.hosts(); i++) {
      String name = "w-" + i;
      DeduplicationWindow repeats =
          groups.computeIfAbsent(deduplicationGroup(name), any -> new DeduplicationWindow(window));
      HostEmulator host = create(name, i, repeats);
      host.start(false);
      hosts.add(host);
      byNumber.put(NameHash.host(name), host);
      directory.addInitial(
          HostSpec.ready(name, host.address()).withLocation(zone(name), cell(name)));
    }
    directory.publishInitial();
  }

  private HostEmulator create(String name, int index, DeduplicationWindow repeats) {
    Address address =
        index % 2 == 0
            ? new Address.Tcp("127.0.0.1", 0)
            : new Address.Unix(context.directory.resolve(name + ".sock"));
    EventLoop machine =
        context.environment.machineLoop(context.hostLoop, name, index % context.scenario.halls());
    machines.put(name, machine);
    return new HostEmulator(
        name,
        address,
        context.scenario.hostModelOf(index),
        machine,
        store,
        repeats,
        log,
        context.scriptRandom.nextLong());
  }

  /** Hosts of one group share their memory of idempotency keys. */
  private int deduplicationGroup(String host) {
    Group group =
        context.scenario.gatewayConfig().triggerTypes().stream()
            .filter(each -> each.effect() == Effect.TOKENED)
            .map(GatewayConfig.Trigger::group)
            .findFirst()
            .orElse(Group.ALL);
    return switch (group) {
      case ALL -> 0;
      case ZONE -> zone(host);
      case CELL -> cell(host);
    };
  }

  // ---- faults ----

  /** A random share of the hosts, one at least. */
  List<HostEmulator> select(double fraction) {
    List<HostEmulator> chosen = new ArrayList<>(hosts);
    Collections.shuffle(chosen, context.scriptRandom);
    return chosen.subList(0, (int) Math.max(1, Math.round(fraction * hosts.size())));
  }

  /** Their processes die at once; the list learns of it, and of their return, late. */
  void restart(List<HostEmulator> selected, Span downtime) {
    for (HostEmulator host : selected) {
      host.crash();
      directory.remove(host.name());
      startLater(host, downtime);
    }
  }

  /** Starts a host cold after the downtime, unless it runs again by then. */
  void startLater(HostEmulator host, Span downtime) {
    context.hostLoop.scheduleAfter(
        downtime,
        () -> {
          if (!context.isEnding() && !host.isUp() && !host.hasCollapsed()) {
            // Not on the loop itself: binding waits for it.
            context.environment.runAsync("start " + host.name(), () -> startCold(host));
          }
        });
  }

  private void startCold(HostEmulator host) {
    try {
      host.start(true);
      context.hostLoop.execute(() -> publish(host));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Lists a host as ready. */
  void publish(HostEmulator host) {
    directory.publish(spec(host));
  }

  HostSpec spec(HostEmulator host) {
    return HostSpec.ready(host.name(), host.address())
        .withLocation(zone(host.name()), cell(host.name()))
        .startedAt(host.startedAt() == null ? new Moment(0) : host.startedAt());
  }
}
