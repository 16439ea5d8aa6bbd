package flintlead.platform;

import flintlead.configuration.startup.StartupSettings;
import flintlead.gateway.LeaseLog;
import flintlead.platform.downstream.CloseCause;
import flintlead.platform.downstream.HttpFront;
import flintlead.platform.downstream.InvocationRequestParser;
import flintlead.platform.journal.HostEventProcessor;
import flintlead.platform.journal.JournalClient;
import flintlead.platform.journal.JsonReader;
import flintlead.platform.upstream.ConnectionPools;
import flintlead.platform.upstream.HostConnectionLimits;
import flintlead.routing.admission.AdmissionController;
import flintlead.routing.admission.MemoryBudget;
import flintlead.routing.guard.HostSendGuard;
import flintlead.routing.guard.Invariant;
import flintlead.routing.guard.InvariantMonitor;
import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.StateLimits;
import flintlead.scheduling.api.TriggerType;
import flintlead.scheduling.lease.HostLeases;
import flintlead.scheduling.lease.LeaseTerms;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.LoopListener;
import flintlead.transport.loop.RepeatingTask;
import flintlead.transport.netty.NettyEventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;

/**
 * One gateway as a server: starts it from its configuration file, reloads the file and shuts the
 * gateway down. Public methods may be called from any thread except the event loop's.
 */
public final class PlatformServer {

  /** File descriptors reserved for the JVM and the listening sockets. */
  private static final int RESERVED_DESCRIPTORS = 48;

  /** Fraction of all connections that clients may use. */
  private static final double CLIENT_CONNECTION_FRACTION = 0.55;

  private static final int MIN_HOST_CONNECTIONS = 8;
  private static final int MAX_RESPONSE_BODY_BYTES = 64 * 1024;

  /**
   * Disables the limit on the share of a source: a connection has only one invocation at a time.
   */
  private static final double UNLIMITED_SHARE = 1_000;

  /** How long a client may leave its responses unread. */
  private static final Span UNREAD_RESPONSE_TIMEOUT = Span.ofMillis(3_500);

  private final NettyEventLoop loop;
  private final Logger log;
  private PlatformConfig configuration;
  private final ConfigurationReloader reloader;
  private final ShutdownTimes shutdownTimes;
  private final MemoryBudget memory = new MemoryBudget(Runtime.getRuntime().maxMemory());
  private ConnectionPools pools;
  private PlatformGateway gateway;
  private JournalClient journal;
  private HttpFront front;
  private final SignalArrival signalArrival = new SignalArrival();
  private boolean shuttingDown;
  private boolean abandoned;
  private boolean stopped;
  private RepeatingTask stopWhenEmpty;
  private final CompletableFuture<Void> terminated = new CompletableFuture<>();

  /**
   * Reads the configuration without opening any socket.
   *
   * @param log receives the gateway's events
   * @throws IllegalArgumentException if the file can't be read or is invalid; the message names the
   *     key and the reason
   */
  public PlatformServer(Path path, Logger log) {
    this.log = log;
    ConfigurationFile file = new ConfigurationFile(path);
    try {
      this.configuration = file.read();
    } catch (IOException e) {
      throw new IllegalArgumentException(path + " can't be read: " + e.getMessage(), e);
    }
    this.shutdownTimes = ShutdownTimes.of(configuration.settings());
    this.loop = new NettyEventLoop("platform");
    this.reloader = new ConfigurationReloader(file, loop, this::reloaded, log);
  }

  // ---- start ----

  /**
   * Starts the gateway; clients are served from when this returns.
   *
   * @return the bound address
   * @throws IOException if the address can't be bound
   * @throws IllegalArgumentException if the configuration is invalid; the message names the key and
   *     the reason
   */
  public Address start() throws IOException {
    CompletableFuture<Void> built = CompletableFuture.runAsync(this::build, loop::execute);
    try {
      built.join();
    } catch (CompletionException e) {
      throw e.getCause() instanceof IllegalArgumentException invalid ? invalid : e;
    }
    return front.listen(configuration.listen());
  }

  /** Assembles the components and starts watching the journal. Runs on the event loop. */
  private void build() {
    StartupSettings settings = configuration.settings();
    Deployment deployment = settings.deployment();
    Random random = new Random(configuration.seed());
    int connections =
        Math.min(configuration.sockets() - RESERVED_DESCRIPTORS, memory.connections());
    int maxClients = (int) (connections * CLIENT_CONNECTION_FRACTION);
    pools = connectionPools(hostLimits(settings, connections - maxClients), leaseTerms(settings));
    gateway =
        new PlatformGateway(
            loop,
            loop::takeActivity,
            pools,
            new PlatformGateway.Settings(
                deployment,
                settings.namesOf("services"),
                settings.span("limits.dial_timeout"),
                admissionBounds(maxClients),
                StateLimits.fitting(memory.schedulerBytes()),
                memory.recentIdBytes(),
                random.nextLong()),
            log);
    journal = createJournal(settings, pools.guard().leases(), new Random(random.nextLong()));
    configuration = configuration.withoutHostEvents();
    journal.start();
    InvocationRequestParser parser = requestParser(settings, deployment);
    front =
        new HttpFront(
            loop,
            loop,
            gateway.invocations(),
            parser,
            new HttpFront.Limits(maxClients, memory.receivedBytes(), memory.unreadBytes()),
            gateway.counters(),
            log);
    loop.onLongTurn(new TurnListener());
  }

  private static LeaseTerms leaseTerms(StartupSettings settings) {
    Deployment deployment = settings.deployment();
    return new LeaseTerms(
        settings.span("rules.drain_grace"), deployment.supportsProbes(), deployment.gateways());
  }

  private ConnectionPools connectionPools(HostConnectionLimits limits, LeaseTerms terms) {
    LeaseLog leaseLog = new LeaseLog(log, host -> pools.hostName(host));
    HostLeases leases = new HostLeases(terms, leaseLog);
    HostSendGuard guard = new HostSendGuard(leases, new InvariantMonitor(this::logViolation));
    return new ConnectionPools(limits, loop, loop, guard, log);
  }

  private void logViolation(Invariant invariant, String id, String detail) {
    log.atError()
        .addKeyValue("invariant", invariant.key())
        .addKeyValue("id", id)
        .addKeyValue("detail", detail)
        .log("invariant_violated");
  }

  private JournalClient createJournal(StartupSettings settings, HostLeases leases, Random random) {
    WallClock clock = new WallClock(loop::now, System::currentTimeMillis);
    HostEventProcessor events =
        new HostEventProcessor(
            settings.textList("dcs"),
            settings.textList("kinds"),
            clock::toMoment,
            memory.hosts(),
            gateway.hosts());
    applyInitialHostEvents(events);
    return new JournalClient(
        configuration.journal(),
        loop,
        loop,
        events,
        leases,
        new JsonReader(),
        random,
        reloader::reloadIfModified,
        log);
  }

  private HostConnectionLimits hostLimits(StartupSettings settings, int connections) {
    return new HostConnectionLimits(
        Math.max(MIN_HOST_CONNECTIONS, connections),
        Math.max(1, (int) settings.number("limits.max_streams")),
        MAX_RESPONSE_BODY_BYTES,
        memory.hostResponseBytes(),
        settings.span("limits.dial_timeout"),
        settings.span("limits.conn_idle"),
        settings.span("rules.drain_grace"));
  }

  private AdmissionController.Limits admissionBounds(int maxClients) {
    long bytes = memory.invocationBytes();
    return new AdmissionController.Limits(
        maxClients, bytes, UNLIMITED_SHARE, 1, bytes, 1, 1, UNREAD_RESPONSE_TIMEOUT);
  }

  private static InvocationRequestParser requestParser(
      StartupSettings settings, Deployment deployment) {
    List<Boolean> needsKey =
        deployment.triggerTypes().stream()
            .map(type -> type.effect() == TriggerType.Effect.TOKENED)
            .toList();
    return new InvocationRequestParser(
        settings.namesOf("services"), needsKey, settings.namesOf("tenants"));
  }

  private void applyInitialHostEvents(HostEventProcessor events) {
    for (int i = 0; i < configuration.initialHostEvents().size(); i++) {
      try {
        if (!events.apply(configuration.initialHostEvents().get(i))) {
          throw new IllegalArgumentException("the event before this one is missing");
        }
      } catch (IllegalArgumentException e) {
        throw new IllegalArgumentException("known.entries[" + i + "]: " + e.getMessage(), e);
      }
    }
  }

  // ---- reload ----

  /** Reloads the configuration file, and switches to the journal service that it names. */
  public void reload() {
    loop.execute(reloader::reload);
  }

  private void reloaded(PlatformConfig changed) {
    journal.changeAddress(changed.journal());
  }

  // ---- shutdown ----

  /** Passes on for how long the event loop did not poll its sockets. */
  private final class TurnListener implements LoopListener {

    @Override
    public void stoodStill(Span length) {
      signalArrival.recordStall(loop.polls().readClock(), length);
      gateway.recordStall(length);
    }

    @Override
    public void busy(Span length, Span processorTime, String slowestPeer) {
      signalArrival.recordStall(loop.polls().readClock(), length);
      gateway.recordBusyTurn(length, processorTime, slowestPeer);
    }
  }

  /** Starts the shutdown, as if its signal were handled now. */
  public void shutdown() {
    shutdown(NettyEventLoop.clock());
  }

  /**
   * Starts the shutdown, which completes when every invocation has its response and no client is
   * connected. Shortly before the platform may kill the process, all open invocations get their
   * final response and later ones are rejected immediately. No connection is closed on which a
   * request may be in transit.
   *
   * @param signalled when the shutdown signal was handled; if the process was stalled before, the
   *     time of the final responses counts from the earliest time at which the signal may have been
   *     sent
   */
  void shutdown(Moment signalled) {
    // After a poll, which detects a stall that has just ended.
    loop.execute(() -> loop.polls().afterNextPoll(() -> beginShutdown(signalled)));
  }

  private void beginShutdown(Moment signalled) {
    if (shuttingDown) {
      return;
    }
    shuttingDown = true;
    Moment abandonAt = signalArrival.earliestSentAt(signalled).plus(shutdownTimes.abandonAfter());
    Moment drainAt = loop.now().plus(shutdownTimes.drainAfter());
    loop.scheduleAt(Moment.earlier(drainAt, abandonAt), this::drain);
    loop.scheduleAt(abandonAt, this::abandon);
  }

  private void drain() {
    log.atInfo().addKeyValue("open", gateway.openCount()).log("shutdown_draining");
    front.beginDraining();
    stopWhenEmpty = RepeatingTask.start(loop, ShutdownTimes.POLL_INTERVAL, this::stopIfEmpty);
  }

  private void abandon() {
    log.atInfo().addKeyValue("open", gateway.openCount()).log("shutdown_abandoning");
    abandoned = true;
    gateway.abandonAll();
    loop.scheduleAfter(ShutdownTimes.REJECTION_PERIOD, () -> stop(CloseCause.SHUTDOWN));
  }

  /**
   * Closes idle connections once no request is in flight, and stops when no connection is left.
   * Until then every request is answered, however late it arrives. If clients keep sending, the
   * platform ends the gateway.
   */
  private void stopIfEmpty() {
    if (abandoned || gateway.openCount() == 0 && front.isQuiet()) {
      front.closeIdle();
    }
    if (isEmpty()) {
      // Checked again right after a poll: a connection may have been waiting to be accepted.
      loop.polls()
          .afterNextPoll(
              () -> {
                if (isEmpty()) {
                  stop(CloseCause.SHUTDOWN);
                }
              });
    }
  }

  private boolean isEmpty() {
    boolean unconnected = abandoned ? front.hasNoConnections() : front.isEmpty();
    return gateway.openCount() == 0 && unconnected;
  }

  private void stop(CloseCause cause) {
    if (!stopped) {
      stopped = true;
      if (stopWhenEmpty != null) {
        stopWhenEmpty.cancel();
      }
      reloader.stop();
      journal.stop();
      front.close(cause);
      // Delayed until the closed sockets have been released: before that, the port would still
      // accept connections.
      loop.scheduleAfter(ShutdownTimes.POLL_INTERVAL, () -> terminated.complete(null));
    }
  }

  /** Blocks the event loop for that long, to exercise a stall during warm-up. */
  void stall(Span length) {
    loop.execute(() -> LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(length.micros())));
  }

  /** Stops immediately, as a killed process does, and waits until the gateway has stopped. */
  void kill() {
    loop.execute(() -> stop(CloseCause.KILLED));
    awaitTermination();
  }

  /** Waits until the gateway has stopped. */
  public void awaitTermination() {
    terminated.join();
    loop.close();
  }
}
