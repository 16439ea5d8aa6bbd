package flintlead.discovery.registry;

import flintlead.discovery.endpoint.EndpointRecord;
import flintlead.discovery.endpoint.EndpointRegistry;
import flintlead.discovery.snapshot.Snapshot;
import flintlead.discovery.snapshot.SnapshotFile;
import flintlead.discovery.watch.Backoff;
import flintlead.discovery.watch.KeyChange;
import flintlead.discovery.watch.RegistryWatcher;
import flintlead.discovery.watch.WatchActions;
import flintlead.gateway.upstream.HostSpec;
import flintlead.scheduling.lease.HostLeases;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Transport;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * A gateway's host list, followed in a registry: connects the protocol, the watcher, the endpoint
 * list and the snapshot. Lives on the gateway's loop, on which all methods are called.
 */
public final class RegistryDiscovery implements WatchActions {

  /** How often retained hosts are probed and judged. */
  private static final Span CHECK_INTERVAL = Span.ofMillis(1_000);

  private static final long MILLIS_PER_SECOND = 1_000;

  /** The gateway, as far as the host list needs it. Called on the loop. */
  public interface Context {

    /** Returns when the host last answered; null where it never did. */
    Moment lastResponseAt(String host);

    /** Sends the host a health check; {@link #lastResponseAt} shows the result. */
    void probe(String host);

    /** Replaces the gateway's hosts. */
    void updateHosts(List<HostSpec> list);

    /** The leases of the hosts, which depend on how old the list is. */
    HostLeases leases();

    /** Logs a condition that an operator should know of. */
    void log(String words);
  }

  /** Receives everything that is applied, for those who print or check it. Called on the loop. */
  public interface Observer {

    /** Changes up to a revision were applied; see {@link WatchActions#applyChanges}. */
    void onChanges(String cluster, long revision, List<KeyChange> changes);

    /** The result of a full read was applied; see {@link WatchActions#replaceAll}. */
    void onReplaced(String cluster, long revision, Map<String, String> all, String why);
  }

  private final EventExecutor loop;
  private final RegistryConfig config;
  private final LongSupplier epochMs;
  private final Context context;
  private final Observer observer;
  private final SnapshotFile snapshotFile;
  private final SnapshotWriter writer;
  private final RegistryWatcher watcher;
  private final RegistryClient client;
  private final EndpointRegistry endpointRegistry;
  private final HostValueParser parser;
  private final StartTimes startTimes = new StartTimes();

  /** The registry's keys and values as applied, for the snapshot. */
  private final TreeMap<String, String> values = new TreeMap<>();

  private boolean closed;

  /**
   * Creates a host list that does nothing before {@link #start}.
   *
   * @param random draws the first endpoint and the waits after failures
   * @param epochMs the wall clock, in milliseconds
   * @param snapshotFile where the last good list is kept; null for nowhere
   * @param snapshotExecutor runs the writes of that file
   * @param observer may be null
   */
  public RegistryDiscovery(
      EventExecutor loop,
      Transport transport,
      RegistryConfig config,
      Random random,
      LongSupplier epochMs,
      SnapshotFile snapshotFile,
      Executor snapshotExecutor,
      Context context,
      Observer observer) {
    this.loop = loop;
    this.config = config;
    this.epochMs = epochMs;
    this.snapshotFile = snapshotFile;
    this.context = context;
    this.observer = observer;
    this.watcher = new RegistryWatcher(this, new Backoff(random), config.listLimits());
    int firstEndpoint = random.nextInt(config.endpoints().size());
    this.client =
        switch (config.protocol()) {
          case ETCD -> new EtcdClient(loop, transport, config, watcher, firstEndpoint);
          case CONSUL -> new ConsulClient(loop, transport, config, watcher, firstEndpoint);
        };
    this.endpointRegistry = new EndpointRegistry(context::log, context::lastResponseAt);
    this.parser = new HostValueParser(config.prefix());
    this.writer = new SnapshotWriter(loop, snapshotFile, snapshotExecutor, this::snapshot);
  }

  /** Begins to follow the registry, with the snapshot's state if there is a good one. */
  public void start() {
    Snapshot snapshot =
        snapshotFile == null
            ? null
            : snapshotFile.read(config.snapshotSource(), epochMs.getAsLong());
    if (snapshot == null) {
      watcher.start(loop.now());
    } else {
      resume(snapshot);
    }
    checkRetained();
  }

  private void resume(Snapshot snapshot) {
    context.log(
        "begins with the snapshot of revision "
            + snapshot.revision()
            + ", "
            + (epochMs.getAsLong() - snapshot.epochMs()) / MILLIS_PER_SECOND
            + " s old, "
            + snapshot.keys().size()
            + " hosts");
    values.putAll(snapshot.keys());
    endpointRegistry.replaceAll(parseAll(snapshot.keys()), loop.now());
    publish();
    watcher.resume(snapshot.cluster(), snapshot.revision(), snapshot.keys(), loop.now());
  }

  /** Stops following; the gateway keeps its last hosts. */
  public void close() {
    closed = true;
    writer.close();
    client.abort();
  }

  /** Returns the last applied revision. */
  public long revision() {
    return watcher.appliedRevision();
  }

  /** Returns the number of requests sent so far. */
  public long requests() {
    return client.requestsSent();
  }

  /** Returns the bytes of all response bodies so far. */
  public long bytes() {
    return client.bytesReceived();
  }

  private void checkRetained() {
    if (closed) {
      return;
    }
    try {
      context.leases().notifyListChanges(loop.now());
      endpointRegistry.retainedHosts().forEach(context::probe);
      if (endpointRegistry.expireRetained(loop.now())) {
        publish();
      }
    } finally {
      loop.scheduleAfter(CHECK_INTERVAL, this::checkRetained);
    }
  }

  // ---- what the watcher asks ----

  @Override
  public void readPage(long attempt, String after, long revision) {
    if (!closed) {
      client.read(attempt, after, revision);
    }
  }

  @Override
  public void openWatch(long attempt, long from) {
    if (!closed) {
      client.watch(attempt, from);
    }
  }

  @Override
  public void abandonAttempt(long attempt) {
    client.abort();
    context.leases().discoveryDisconnected(loop.now());
  }

  @Override
  public void upToDate() {
    context.leases().listConfirmed(loop.now());
  }

  @Override
  public void scheduleWake(Moment when) {
    loop.scheduleAt(when, () -> watcher.wake(loop.now()));
  }

  @Override
  public void log(String message) {
    context.log("registry: " + message);
  }

  @Override
  public void applyChanges(long revision, List<KeyChange> changes) {
    if (observer != null) {
      observer.onChanges(watcher.cluster(), revision, changes);
    }
    Map<String, EndpointRecord> hosts = new TreeMap<>();
    for (KeyChange change : changes) {
      if (change.value() == null) {
        values.remove(change.key());
        hosts.put(change.key(), null);
      } else {
        values.put(change.key(), change.value());
        parseInto(hosts, change.key(), change.value());
      }
    }
    if (endpointRegistry.applyChanges(hosts, loop.now())) {
      publish();
    }
    writer.schedule();
  }

  @Override
  public void replaceAll(String cluster, long revision, Map<String, String> all, String why) {
    if (observer != null) {
      observer.onReplaced(cluster, revision, all, why);
    }
    values.clear();
    values.putAll(all);
    endpointRegistry.replaceAll(parseAll(all), loop.now());
    publish();
    writer.schedule();
  }

  // ---- from values to hosts ----

  private Map<String, EndpointRecord> parseAll(Map<String, String> all) {
    Map<String, EndpointRecord> hosts = new TreeMap<>();
    all.forEach((key, value) -> parseInto(hosts, key, value));
    return hosts;
  }

  /**
   * Adds the host that the value describes; a value that describes none is reported, and left out.
   */
  private void parseInto(Map<String, EndpointRecord> hosts, String key, String value) {
    try {
      hosts.put(key, parser.parse(key, value));
    } catch (InvalidHostValueException e) {
      endpointRegistry.markUnreadable(key, e.getMessage());
    }
  }

  private void publish() {
    List<HostSpec> hosts = new ArrayList<>();
    for (EndpointRecord host : endpointRegistry.endpoints()) {
      List<Address> addresses = host.addresses().stream().map(Address::parse).toList();
      Moment startedAt = startTimes.of(host, epochMs.getAsLong(), loop.now());
      hosts.add(
          new HostSpec(
              host.name(),
              addresses,
              host.zone(),
              host.cell(),
              host.kind(),
              host.state(),
              startedAt,
              host.weight()));
    }
    startTimes.endList();
    context.updateHosts(hosts);
  }

  private Snapshot snapshot() {
    return new Snapshot(
        config.snapshotSource(),
        watcher.cluster(),
        watcher.appliedRevision(),
        epochMs.getAsLong(),
        new TreeMap<>(values));
  }

  /** Returns one for whoever only follows the registry, and sends hosts no work. */
  public static Context context(
      Function<String, Moment> lastResponseAt,
      Consumer<String> probe,
      Consumer<List<HostSpec>> updateHosts,
      Consumer<String> log) {
    return context(lastResponseAt, probe, updateHosts, HostLeases.ofAuthoritativeList(), log);
  }

  /** Returns a gateway made of functions, whose hosts have these leases. */
  public static Context context(
      Function<String, Moment> lastResponseAt,
      Consumer<String> probe,
      Consumer<List<HostSpec>> updateHosts,
      HostLeases leases,
      Consumer<String> log) {
    return new Context() {
      @Override
      public Moment lastResponseAt(String host) {
        return lastResponseAt.apply(host);
      }

      @Override
      public void probe(String host) {
        probe.accept(host);
      }

      @Override
      public void updateHosts(List<HostSpec> list) {
        updateHosts.accept(list);
      }

      @Override
      public HostLeases leases() {
        return leases;
      }

      @Override
      public void log(String words) {
        log.accept(words);
      }
    };
  }
}
