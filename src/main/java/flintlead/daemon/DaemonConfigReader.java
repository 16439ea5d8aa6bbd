package flintlead.daemon;

import static flintlead.daemon.ConfigLimits.MAX_COUNT;
import static flintlead.daemon.ConfigLimits.MAX_SPAN;
import static flintlead.daemon.ConfigLimits.MIN_SPAN;

import flintlead.configuration.transaction.RollbackThresholds;
import flintlead.configuration.yaml.ConfigurationErrors;
import flintlead.configuration.yaml.GatewayConfigReader;
import flintlead.configuration.yaml.LayoutReader;
import flintlead.configuration.yaml.YamlException;
import flintlead.configuration.yaml.YamlSection;
import flintlead.daemon.PeerConfigReader.PeerSettings;
import flintlead.discovery.registry.RegistryConfig;
import flintlead.gateway.GatewayConfig;
import flintlead.gateway.downstream.FrontLimits;
import flintlead.gateway.upstream.HostSpec;
import flintlead.gateway.upstream.UpstreamLimits;
import flintlead.routing.admission.AdmissionController;
import flintlead.routing.pool.Layout;
import flintlead.scheduling.api.HostEntry;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Reads a daemon's configuration file. All faults are collected before any is reported. */
final class DaemonConfigReader {

  private static final String DEFAULT_NAME = "flintlead";
  private static final String DEFAULT_PREFIX = "flintlead/hosts/";
  private static final int MAX_PAGE_SIZE = 10_000;
  private static final Span MIN_QUIET = Span.ofMillis(100);
  private static final Span MIN_DEAD = Span.ofMillis(20);
  private static final Span DEFAULT_STOP_GRACE = Span.ofMillis(5_000);

  /** Stands for an address that can't be read, until the fault is reported. */
  private static final Address PLACEHOLDER = new Address.Tcp("127.0.0.1", 1);

  private final YamlSection top;
  private final ConfigurationErrors faults;

  private DaemonConfigReader(YamlSection top, ConfigurationErrors faults) {
    this.top = top;
    this.faults = faults;
  }

  static DaemonConfig read(Path file) throws IOException, YamlException {
    ConfigurationErrors faults = new ConfigurationErrors(file.toString());
    return new DaemonConfigReader(YamlSection.read(file, faults), faults).read();
  }

  static DaemonConfig parse(String name, String text) throws YamlException {
    ConfigurationErrors faults = new ConfigurationErrors(name);
    return new DaemonConfigReader(YamlSection.read(text, faults), faults).read();
  }

  /**
   * Reads what can be changed while a gateway runs; whatever else the text says is ignored.
   *
   * @param name the file name that messages begin with
   * @param layout stays where the text has neither pools nor routes
   */
  static DynamicConfig parseDynamic(String name, String text, GatewayConfig gateway, Layout layout)
      throws YamlException {
    ConfigurationErrors faults = new ConfigurationErrors(name);
    YamlSection top = YamlSection.read(text, faults);
    List<HostSpec> hosts = HostListReader.read(top);
    boolean hasLayout = top.has("pools") || top.has("routes");
    Layout ownLayout = layout(top, gateway, List.of());
    faults.throwIfAny();
    return new DynamicConfig(hosts, hasLayout ? ownLayout : layout);
  }

  private DaemonConfig read() throws YamlException {
    GatewayConfig gateway = GatewayConfigReader.read(top, DEFAULT_NAME, faults);
    boolean fromRegistry = top.isMapping("hosts");
    List<HostSpec> hosts = fromRegistry ? List.of() : HostListReader.read(top);
    Layout layout = layout(top, gateway, hosts);
    RegistrySource registry = fromRegistry ? registrySource() : new RegistrySource(null, null);
    List<Address> listen = listen();
    YamlSection bounds = top.section("bounds");
    AdmissionController.Limits admission = BoundsReader.admission(bounds);
    FrontLimits front = BoundsReader.front(bounds);
    UpstreamLimits links = BoundsReader.links(bounds);
    bounds.rejectUnknownKeys();
    Span stopGrace = top.span("stopGrace", DEFAULT_STOP_GRACE, Span.ZERO, MAX_SPAN);
    PeerSettings peers =
        top.has("members") ? PeerConfigReader.read(top.section("members")) : PeerSettings.NONE;
    ControlConfig control =
        top.has("control") ? control(top.section("control"), fromRegistry) : null;
    Path observations = SectionValues.directory(top, "sights");
    top.rejectUnknownKeys();
    faults.throwIfAny();
    return new DaemonConfig(
        gateway,
        hosts,
        layout,
        registry.config,
        registry.snapshots,
        listen,
        admission,
        front,
        links,
        stopGrace,
        peers.config(),
        peers.keyFiles(),
        control,
        observations);
  }

  private List<Address> listen() {
    List<Address> listen = new ArrayList<>();
    top.strings("listen", List.of())
        .forEach(text -> SectionValues.address(top, "listen", text, listen));
    if (listen.isEmpty()) {
      top.addError("listen", "names no address", "write listen: [\"unix:/run/flintlead.sock\"]");
    }
    return listen;
  }

  /**
   * Reads pools and routes.
   *
   * @param hosts where they are known beforehand; empty where they are not
   */
  private static Layout layout(YamlSection top, GatewayConfig gateway, List<HostSpec> hosts) {
    LayoutReader.ParsedLayout read = LayoutReader.read(top);
    Layout layout = read.layout();
    if (layout == null) {
      return Layout.DEFAULT;
    }
    List<String> wrong =
        new ArrayList<>(
            layout.validateNames(
                Set.copyOf(
                    gateway.triggerTypes().stream().map(GatewayConfig.Trigger::name).toList()),
                Set.copyOf(
                    gateway.customers().stream().map(GatewayConfig.Customer::name).toList())));
    if (!hosts.isEmpty()) {
      wrong.addAll(
          layout.validate(
              hosts.stream()
                  .map(
                      host ->
                          new Layout.HostDescriptor(
                              host.name(),
                              host.zone(),
                              host.kind(),
                              host.state() == HostEntry.State.READY))
                  .toList()));
    }
    wrong.forEach(read::addError);
    return layout;
  }

  // ---- the registry ----

  /** Where hosts come from, if not from the file, and where the registry's last state is kept. */
  private record RegistrySource(RegistryConfig config, Path snapshots) {}

  private RegistrySource registrySource() {
    YamlSection hosts = top.section("hosts");
    YamlSection from = hosts.section("registry");
    RegistryConfig config = registry(from);
    Path snapshots = SectionValues.directory(from, "snapshots");
    from.rejectUnknownKeys();
    hosts.rejectUnknownKeys();
    return new RegistrySource(config, snapshots);
  }

  private static RegistryConfig registry(YamlSection from) {
    List<Address> endpoints = new ArrayList<>();
    from.strings("endpoints", List.of())
        .forEach(text -> SectionValues.address(from, "endpoints", text, endpoints));
    if (endpoints.isEmpty()) {
      from.addError("endpoints", "names no address", "write endpoints: [\"tcp:127.0.0.1:2379\"]");
      endpoints.add(PLACEHOLDER);
    }
    RegistryConfig usual =
        RegistryConfig.withDefaults(RegistryConfig.Protocol.ETCD, endpoints, DEFAULT_PREFIX);
    return new RegistryConfig(
        from.enumValue("protocol", usual.protocol()),
        endpoints,
        from.string("prefix", usual.prefix()),
        from.integer("page", usual.pageSize(), 1, MAX_PAGE_SIZE),
        from.span("answerTime", usual.requestTimeout(), MIN_SPAN, MAX_SPAN),
        from.span("quiet", usual.watchIdleTimeout(), MIN_QUIET, MAX_SPAN));
  }

  // ---- the control socket ----

  private static ControlConfig control(YamlSection from, boolean fromRegistry) {
    Address.Unix socket = socket(from);
    if (fromRegistry) {
      from.addError(
          "listen",
          "changes a list that the file holds, and hosts come from a registry",
          "change them there");
    }
    Path records = SectionValues.directory(from, "records");
    RollbackThresholds thresholds = thresholds(from);
    from.rejectUnknownKeys();
    return new ControlConfig(socket, records, thresholds);
  }

  /** Returns null where the address is no Unix socket; that is a fault. */
  private static Address.Unix socket(YamlSection from) {
    String text = from.string("listen", null);
    try {
      if (Address.parse(text) instanceof Address.Unix unix) {
        return unix;
      }
    } catch (IllegalArgumentException e) {
      // Reported below: whatever it is, it is no Unix socket.
    }
    from.addError(
        "listen", "'" + text + "' is no Unix socket", "write unix:/run/flintlead-control.sock");
    return null;
  }

  private static RollbackThresholds thresholds(YamlSection from) {
    RollbackThresholds usual = RollbackThresholds.DEFAULTS;
    return new RollbackThresholds(
        from.number("step", usual.stepFraction(), 0.001, 1),
        from.span("settle", usual.settleTime(), Span.ZERO, MAX_SPAN),
        from.span("watch", usual.observationTime(), Span.ZERO, MAX_SPAN),
        from.span("dead", usual.unreachableTimeout(), MIN_DEAD, MAX_SPAN),
        from.number("worse", usual.maxFailureIncrease(), 0, 1),
        from.integer("least", usual.minInvocations(), 1, MAX_COUNT),
        from.number("certainty", usual.standardErrors(), 0, 100));
  }
}
