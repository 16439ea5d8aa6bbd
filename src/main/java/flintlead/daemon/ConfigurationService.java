package flintlead.daemon;

import flintlead.configuration.transaction.ConfigurationTransaction;
import flintlead.configuration.transaction.ConfigurationVersion;
import flintlead.configuration.transaction.RollbackThresholds;
import flintlead.configuration.transaction.StagedSteps;
import flintlead.configuration.transaction.TransactionLog;
import flintlead.configuration.transaction.VersionDifference;
import flintlead.configuration.transaction.VersionValidator;
import flintlead.configuration.yaml.YamlException;
import flintlead.gateway.CountersSnapshot;
import flintlead.gateway.GatewayConfig;
import flintlead.gateway.InvocationHandler;
import flintlead.gateway.upstream.HostSpec;
import flintlead.routing.pool.Layout;
import flintlead.routing.pool.Route;
import flintlead.time.Moment;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The operations of the control socket: changes of a running gateway's hosts, pools and routes.
 * Lives on the gateway's loop.
 */
final class ConfigurationService implements ConfigurationTransaction.ConfigurationTarget {

  /** Recent invocations by which a plan estimates how many are routed elsewhere. */
  private static final int SAMPLE_SIZE = 1_000;

  /** Most rollouts that are remembered as fenced; the oldest is forgotten. */
  private static final int MAX_FENCED = 64;

  private static final long MICROS_PER_MILLI = 1_000;

  private final InvocationHandler gateway;
  private final GatewayConfig config;
  private final RollbackThresholds thresholds;
  private final Consumer<String> log;
  private final ConfigurationTransaction transaction;

  /** The hosts in force, by name. */
  private final Map<String, HostSpec> hosts = new LinkedHashMap<>();

  private Layout layout = Layout.DEFAULT;

  /** Ids of rollouts of which nothing more is accepted. */
  private final Set<String> fencedRollouts = new LinkedHashSet<>();

  private long transactionsBegun;
  private Runnable cancelWake = () -> {};

  /**
   * Puts the version in force with which the process begins.
   *
   * @param file the version of the configuration file
   * @param stored the record of the process before; null for none
   * @param counts returns the gateway's counters now
   */
  ConfigurationService(
      InvocationHandler gateway,
      GatewayConfig config,
      ConfigurationVersion file,
      TransactionLog.TransactionRecord stored,
      RollbackThresholds thresholds,
      Supplier<CountersSnapshot> counts,
      TransactionLog transactionLog,
      Consumer<String> log) {
    this.gateway = gateway;
    this.config = config;
    this.thresholds = thresholds;
    this.log = log;
    HealthSampler sampler = new HealthSampler(gateway, counts, thresholds.unreachableTimeout());
    this.transaction =
        new ConfigurationTransaction(
            ConfigurationTransaction.recoverVersion(stored, file),
            thresholds,
            transactionLog,
            this,
            () -> sampler.sample(hosts.values(), layout));
    applyVersion(transaction.current()).forEach(log);
  }

  // ---- what the transaction asks ----

  @Override
  public List<String> applyVersion(ConfigurationVersion version) {
    Map<String, HostSpec> next = new LinkedHashMap<>();
    version.hosts().forEach((name, host) -> next.put(name, HostConversion.toSpec(host)));
    List<String> faults = gateway.applyLayouts(version.transition(), List.copyOf(next.values()));
    if (faults.isEmpty()) {
      hosts.clear();
      hosts.putAll(next);
      layout = version.layout();
    }
    return faults;
  }

  @Override
  public void scheduleWake(Moment when) {
    cancelWake.run();
    cancelWake =
        gateway
            .loop()
            .scheduleAt(
                when,
                () -> {
                  cancelWake = () -> {};
                  transaction.wake(gateway.loop().now());
                });
  }

  @Override
  public void log(String line) {
    log.accept(line);
  }

  // ---- what an operator asks ----

  /**
   * Parses a configuration's text.
   *
   * @throws IllegalArgumentException with the faults of a text that can't be used
   */
  private ConfigurationVersion parse(String text) {
    try {
      DynamicConfig to =
          DaemonConfigReader.parseDynamic("change", text, config, transaction.confirmed().layout());
      return HostConversion.toVersion(to.hosts(), to.layout());
    } catch (YamlException e) {
      throw new IllegalArgumentException(String.join("; ", e.errors()));
    }
  }

  /**
   * Returns what a change would do; nothing is done.
   *
   * @param text of a configuration file
   */
  byte[] plan(String text) {
    ConfigurationVersion to = parse(text);
    ConfigurationVersion from = transaction.confirmed();
    List<ConfigurationVersion> steps = StagedSteps.plan(from, to, thresholds);
    StagedSteps.ReroutedShare rerouted =
        StagedSteps.reroutedShare(from, to, thresholds, gateway.recentRequests(SAMPLE_SIZE));
    return JsonObjects.encode(
        JsonObjects.object(
            "from", from.id(),
            "to", to.id(),
            "faults", VersionValidator.validate(from, to),
            "difference", ConfigurationJson.difference(VersionDifference.of(from, to)),
            "steps", steps.stream().map(ConfigurationVersion::id).toList(),
            "worstStep", StagedSteps.largestLostShare(from, steps),
            "atOnce", StagedSteps.largestLostShare(from, List.of(to)),
            "ledElsewhere", rerouted.total(),
            "ledElsewhereAStep", rerouted.perStep(),
            "takesMs", durationMillis(steps.size())));
  }

  private long durationMillis(int steps) {
    return Math.max(0, steps - 1) * thresholds.settleTime().micros() / MICROS_PER_MILLI
        + thresholds.observationTime().micros() / MICROS_PER_MILLI;
  }

  /**
   * Begins a change, and returns the status.
   *
   * @param text of a configuration file
   * @param expects the version that must be in force; null for any
   * @param rollout id of the rollout that this is a part of; null for none
   * @throws IllegalArgumentException with the reason why it is not begun
   */
  byte[] apply(String text, String expects, String rollout) {
    if (rollout != null && fencedRollouts.contains(rollout)) {
      throw new IllegalArgumentException(
          "rollout " + rollout + " goes back: nothing more of it is taken");
    }
    ConfigurationVersion confirmed = transaction.confirmed();
    if (expects != null && !expects.equals(confirmed.id())) {
      throw new IllegalArgumentException(
          "version " + confirmed + " is in force, and " + expects + " was expected");
    }
    List<String> faults = transaction.apply(parse(text), gateway.loop().now());
    if (!faults.isEmpty()) {
      throw new IllegalArgumentException(String.join("; ", faults));
    }
    transactionsBegun++;
    return status();
  }

  /**
   * Fences a rollout, and returns the status: from now on its calls are refused, so that a late one
   * can't undo its being taken back.
   */
  byte[] fence(String rollout) {
    fencedRollouts.add(rollout);
    if (fencedRollouts.size() > MAX_FENCED) {
      fencedRollouts.remove(fencedRollouts.iterator().next());
    }
    return status();
  }

  /**
   * Rolls the change back that is under way, and returns the status.
   *
   * @throws IllegalArgumentException where there is none
   */
  byte[] undo() {
    if (!transaction.rollBack("by the operator's word")) {
      throw new IllegalArgumentException(
          "there is nothing to undo; the last change: " + transaction.lastOutcome());
    }
    return status();
  }

  /** Returns the confirmed version as a text that {@link #apply} accepts. */
  byte[] show() {
    return JsonObjects.encode(ConfigurationJson.version(transaction.confirmed()));
  }

  /** Returns the state of the change, and what is in force. */
  byte[] status() {
    CountersSnapshot counters = gateway.counters();
    ConfigurationVersion current = transaction.current();
    return JsonObjects.encode(
        JsonObjects.object(
            "stage", transaction.stage().name().toLowerCase(Locale.ROOT),
            "now", current.id(),
            "good", transaction.confirmed().id(),
            "step", transaction.step(),
            "steps", transaction.steps(),
            "tried", transactionsBegun,
            "last", transaction.lastOutcome(),
            "succeeded", counters.succeeded(),
            "failed", counters.throttled() + counters.errored(),
            "hosts",
                current.hosts().values().stream()
                    .map(host -> host.name() + (host.draining() ? " (drains)" : ""))
                    .toList(),
            "routes", current.layout().routes().stream().map(Route::describe).toList(),
            "passedOver", current.transition().targetShare()));
  }
}
