package flintlead.daemon;

import flintlead.configuration.transaction.TransactionLog;
import flintlead.discovery.registry.RegistryDiscovery;
import flintlead.discovery.snapshot.DirectoryStorage;
import flintlead.discovery.snapshot.DurableStorage;
import flintlead.discovery.snapshot.SnapshotFile;
import flintlead.gateway.Flintlead;
import flintlead.gateway.InvocationHandler;
import flintlead.gateway.ShutdownReport;
import flintlead.gateway.downstream.ClientFront;
import flintlead.membership.peer.ObservationStore;
import flintlead.membership.peer.PeerGatewayAdapter;
import flintlead.membership.peer.PeerService;
import flintlead.routing.admission.MemoryBudget;
import flintlead.routing.pool.PoolSnapshot;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.Transport;
import flintlead.transport.netty.NettyEventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A gateway with its client addresses, as a configuration file describes it. Its methods may be
 * called by any thread but the gateway's own.
 */
public final class Daemon {

  /** An older list of hosts helps less than none: they are likely other machines by now. */
  private static final Span MAX_SNAPSHOT_AGE = Span.ofMillis(3_600_000);

  /**
   * What was written in the loop's last event is sent when it ends; the loop is closed after that.
   */
  private static final Span LOOP_CLOSE_DELAY = Span.ofMillis(1);

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);

  private final DaemonConfig config;
  private final MemoryLimits memory;
  private final Flintlead gateway;
  private final NettyEventLoop loop;

  /** Runs all reads and writes of files, one at a time. */
  private final ExecutorService disk;

  private final List<Address> addresses = new ArrayList<>();

  /** Null where the gateway talks to no other. */
  private PeerService peers;

  /** Null where there is no control socket. */
  private Transport.ListeningSocket control;

  private Daemon(DaemonConfig config, MemoryLimits memory, Flintlead gateway, NettyEventLoop loop) {
    this.config = config;
    this.memory = memory;
    this.gateway = gateway;
    this.loop = loop;
    this.disk =
        Executors.newSingleThreadExecutor(
            task -> {
              Thread thread = new Thread(task, config.gateway().gatewayName() + "-disk");
              thread.setDaemon(true);
              return thread;
            });
  }

  /**
   * Starts a gateway.
   *
   * @throws IOException when an address can't be bound; then nothing is left running
   */
  public static Daemon start(DaemonConfig config) throws IOException {
    String name = config.gateway().gatewayName();
    NettyEventLoop loop = new NettyEventLoop(name);
    MemoryLimits memory = new MemoryLimits(new MemoryBudget(Runtime.getRuntime().maxMemory()));
    Flintlead.Builder builder =
        Flintlead.of(config.gateway())
            .admissionLimits(memory.admission(config.admission()))
            .stateLimits(memory.scheduler())
            .usedTokenBytes(memory.usedTokenBytes())
            .upstreamLimits(memory.upstream(config.hostLimits()))
            .runOn(loop);
    if (config.registry() != null) {
      builder.hostsFromRegistry(config.registry().watchIdleTimeout());
    }
    Flintlead gateway = (config.peers() == null ? builder : builder.withPeers()).start();
    Daemon daemon = new Daemon(config, memory, gateway, loop);
    try {
      daemon.open();
    } catch (IOException e) {
      gateway.kill();
      daemon.close();
      throw e;
    }
    LOG.info("{} takes invocations at {}, {} hosts", name, daemon.addresses, config.hosts().size());
    return daemon;
  }

  private void open() throws IOException {
    LoopActivityLog.start(loop, LOG);
    gateway.applyLayout(config.layout());
    gateway.withHandler(
        handler ->
            handler.registerQuery(
                "pools",
                () ->
                    JsonObjects.encode(
                        handler.pools().stream().map(PoolSnapshot::toFields).toList())));
    if (config.registry() != null) {
      followRegistry();
    } else if (config.control() != null) {
      openControlSocket();
    } else {
      gateway.replaceHosts(config.hosts());
    }
    if (config.observationDirectory() != null) {
      keepObservations(config.observationDirectory());
    }
    if (config.peers() != null) {
      joinPeers();
    }
    for (Address address : config.listen()) {
      addresses.add(ClientFront.open(gateway, address, memory.front(config.clientLimits())));
    }
  }

  private String name() {
    return config.gateway().gatewayName();
  }

  /**
   * The hosts come from a registry, with a snapshot on disk where the configuration names a
   * directory.
   */
  private void followRegistry() {
    SnapshotFile file =
        config.snapshotDirectory() == null
            ? null
            : new SnapshotFile(
                new DirectoryStorage(config.snapshotDirectory()),
                name() + ".hosts",
                MAX_SNAPSHOT_AGE,
                LOG::warn);
    gateway.withHandler(
        handler -> {
          RegistryDiscovery.Context context =
              RegistryDiscovery.context(
                  handler::lastHeardAt,
                  handler::probe,
                  handler::replaceHosts,
                  handler.leases(),
                  LOG::warn);
          new RegistryDiscovery(
                  handler.loop(),
                  handler.transport(),
                  config.registry().withListLimits(memory.registryList()),
                  new Random(),
                  System::currentTimeMillis,
                  file,
                  disk,
                  context,
                  null)
              .start();
        });
  }

  /**
   * The hosts may be changed while the gateway runs; what the process before has confirmed has
   * precedence over the file.
   */
  private void openControlSocket() throws IOException {
    ControlConfig settings = config.control();
    DurableStorage storage =
        settings.transactionDirectory() == null
            ? null
            : new DirectoryStorage(settings.transactionDirectory());
    TransactionLog.TransactionRecord stored = TransactionLogFile.read(storage, LOG::warn);
    CompletableFuture<ConfigurationService> service = new CompletableFuture<>();
    gateway.withHandler(
        handler -> {
          try {
            ConfigurationService created = service(handler, settings, storage, stored);
            // Loads the classes of a response now: later clients would wait for that.
            created.status();
            service.complete(created);
          } catch (RuntimeException e) {
            // Otherwise the start would wait for ever.
            service.completeExceptionally(e);
          }
        });
    control = ControlSocket.open(loop, settings.socket(), service.join());
    LOG.info("{} may be changed at {}", name(), settings.socket());
  }

  private ConfigurationService service(
      InvocationHandler handler,
      ControlConfig settings,
      DurableStorage storage,
      TransactionLog.TransactionRecord stored) {
    TransactionLog journal =
        new TransactionLogFile(storage, disk, handler.loop()::execute, LOG::info);
    return new ConfigurationService(
        handler,
        config.gateway(),
        HostConversion.toVersion(config.hosts(), config.layout()),
        stored,
        settings.thresholds(),
        handler::counters,
        journal,
        LOG::info);
  }

  /** What the gateway observes is kept for its next process. */
  private void keepObservations(Path directory) {
    gateway.withHandler(
        handler ->
            new ObservationStore(
                    handler.loop(),
                    new PeerGatewayAdapter(handler, LOG::info),
                    new DirectoryStorage(directory),
                    name(),
                    disk,
                    System::currentTimeMillis,
                    config.gateway().hosts().instanceKeepAlive())
                .start());
  }

  /**
   * Joins the other gateways; who they are is answered to {@code members} at any client address.
   */
  private void joinPeers() throws IOException {
    CompletableFuture<PeerGatewayAdapter> adapter = new CompletableFuture<>();
    gateway.withHandler(handler -> adapter.complete(new PeerGatewayAdapter(handler, LOG::info)));
    PeerGatewayAdapter own = adapter.join();
    // Above the incarnation of every process before, which began at least a second earlier.
    long incarnation = System.currentTimeMillis() / MILLIS_PER_SECOND;
    CompletableFuture<PeerService> joined = new CompletableFuture<>();
    PeerService.open(
        loop,
        config.peers(),
        name(),
        config.gateway().index(),
        incarnation,
        own,
        System.nanoTime(),
        here -> {
          own.connect(here);
          joined.complete(here);
        });
    peers = joined.join();
    gateway.withHandler(
        handler -> handler.registerQuery("members", () -> MembersReport.encode(peers)));
    LOG.info("{} talks to other gateways at {}", name(), peers.address());
    if (!config.keyFiles().isEmpty()) {
      KeyReloader reloader =
          new KeyReloader(loop, disk, config.keyFiles(), peers::updateKeys, LOG::warn);
      loop.execute(reloader::schedule);
    }
  }

  /** Returns the other gateways; null where this one talks to none. */
  public PeerService peers() {
    return peers;
  }

  /** Returns the gateway itself. */
  public Flintlead gateway() {
    return gateway;
  }

  /**
   * Returns the addresses at which clients connect, with the ports that were chosen where port 0
   * was asked for.
   */
  public List<Address> addresses() {
    return addresses;
  }

  /** Shuts down within the configured grace, as SIGTERM asks for; blocks until that is done. */
  public ShutdownReport stop() {
    if (peers != null) {
      // At once, while there is time: the others' decisions need no longer count on this gateway.
      loop.execute(peers::leave);
    }
    ShutdownReport stopped = gateway.stop(config.stopGrace()).join();
    close();
    LOG.info(
        "stopped: {} invocations were open, {} of them answered when the grace was over",
        stopped.pendingAtStop(),
        stopped.abandoned());
    return stopped;
  }

  private void close() {
    if (control != null) {
      control.close();
    }
    disk.shutdown();
    loop.execute(() -> loop.scheduleAfter(LOOP_CLOSE_DELAY, loop::close));
  }
}
