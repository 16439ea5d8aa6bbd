package flintlead.testing.soak;

import flintlead.testing.soak.GatewayEvent.Kind;
import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

/**
 * One play of a plan: starts everything, plays the faults at their times, and has the oracle judge.
 * Processes are started by the thread that calls {@link #play}.
 */
public final class SoakRun {

  /** Values of a part of an IPv4 address. */
  private static final int OCTET = 256;

  private static final long MILLIS = 1_000_000L;
  private static final int START_SECONDS = 60;
  private static final int CROWD_CLIENTS = 25;
  private static final int BUSY_PROCESSES = 6;
  private static final int LIMIT_CHECK_MILLIS = 500;
  private static final int SIGNAL_SERIES_MILLIS = 15;

  /** After the traffic: the longest request, and who waits for its late answer. */
  private static final int LAST_ANSWERS_MILLIS = 3_300;

  private record Action(long atNanos, long order, Step step) {}

  /** Something that the driver does at its time. */
  private interface Step {
    void run() throws IOException, InterruptedException;
  }

  /** What a play has shown. */
  public record Result(String summary, List<Breach> breaches) {}

  private final SoakPlan plan;
  private final Path root;
  private final Path folder;
  private final Map<String, String> environment;
  private final SoakRecords records = new SoakRecords();
  private final NettyEventLoop clientLoop = new NettyEventLoop("soak-clients");
  private final NettyEventLoop hostLoop = new NettyEventLoop("soak-hosts");
  private final List<SoakHost> hosts = new ArrayList<>();
  private final List<GatewayProcess> gateways = new ArrayList<>();
  private final List<SoakClient.Site> sites = new ArrayList<>();
  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(
          Comparator.comparingLong(Action::atNanos).thenComparingLong(Action::order));
  private final List<Process> busyProcesses = new ArrayList<>();
  private SoakJournal journal;
  private volatile boolean traffic = true;
  private long order;
  private long clientSeed;

  /**
   * Prepares a play.
   *
   * @param root the project's folder, with the program built
   * @param environment added to that of the gateways
   */
  public SoakRun(SoakPlan plan, Path root, Map<String, String> environment) throws IOException {
    this.plan = plan;
    this.root = root;
    this.environment = environment;
    this.folder = Files.createTempDirectory("flintlead-soak");
    this.clientSeed = plan.seed() * 1_000_003;
  }

  /** Plays it to its end. */
  public Result play() throws IOException, InterruptedException {
    try {
      startHosts();
      startGateways();
      schedulePlan();
      runActions();
      SoakOracle oracle = new SoakOracle(plan, records);
      List<Breach> breaches = oracle.judge();
      return new Result(oracle.summary(), breaches);
    } finally {
      close();
    }
  }

  // ---- start ----

  private void startHosts() throws IOException {
    List<String> endpoints = new ArrayList<>();
    for (int i = 0; i < plan.hosts(); i++) {
      SoakHost host = new SoakHost(i, hostLoop, records, plan.seed() * 31 + i);
      hosts.add(host);
      endpoints.add(SoakConfiguration.endpoint(host.name(), host.address(), "active", 0));
    }
    String first = SoakConfiguration.event(1, true, endpoints);
    journal = new SoakJournal(hostLoop, first);
    for (int i = 0; i < plan.gateways(); i++) {
      Path own = Files.createDirectory(folder.resolve("n" + i));
      Address.Tcp address = unusedAddress(i);
      String listen = address.host() + ":" + address.port();
      String file = SoakConfiguration.file(plan, i, listen, journal.address(), first);
      Files.writeString(own.resolve("config.json"), file);
      GatewayProcess gateway = new GatewayProcess(i, root, own, environment, records);
      gateways.add(gateway);
      sites.add(
          new SoakClient.Site(
              i, address, clientLoop, plan, records, gateway::acceptsConnections, () -> traffic));
    }
  }

  /**
   * Where a gateway listens, also after restarts: at a loopback address that only it has. On a
   * shared one its port may go to another socket, of this run or of one beside it, while it is
   * down.
   */
  private static Address.Tcp unusedAddress(int gateway) throws IOException {
    long process = ProcessHandle.current().pid();
    String host =
        "127."
            + (1 + process / OCTET % (OCTET - 2))
            + "."
            + process % OCTET
            + "."
            + (1 + gateway % (OCTET - 2));
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return new Address.Tcp(host, socket.getLocalPort());
    }
  }

  private void startGateways() throws IOException {
    for (GatewayProcess gateway : gateways) {
      gateway.start();
    }
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
    while (System.nanoTime() < end && !gateways.stream().allMatch(GatewayProcess::isReady)) {
      LockSupport.parkNanos(20 * MILLIS);
      gateways.forEach(GatewayProcess::checkLimits);
    }
  }

  // ---- the schedule ----

  private void at(long nanos, Step step) {
    actions.add(new Action(nanos, order++, step));
  }

  private void after(long millis, Step step) {
    at(System.nanoTime() + millis * MILLIS, step);
  }

  private void schedulePlan() {
    long start = System.nanoTime();
    for (int gateway = 0; gateway < plan.gateways(); gateway++) {
      addClients(gateway, plan.clientsPerGateway());
    }
    for (PlannedFault fault : plan.faults()) {
      at(start + fault.atMillis() * MILLIS, () -> begin(fault));
    }
    at(start + plan.trafficMillis() * MILLIS, () -> traffic = false);
    long end = start + (plan.trafficMillis() + LAST_ANSWERS_MILLIS) * MILLIS;
    checkLimitsUntil(end);
    at(end, () -> {});
  }

  private void checkLimitsUntil(long end) {
    if (System.nanoTime() < end) {
      gateways.forEach(GatewayProcess::checkLimits);
      after(LIMIT_CHECK_MILLIS, () -> checkLimitsUntil(end));
    }
  }

  private void runActions() throws IOException, InterruptedException {
    while (!actions.isEmpty()) {
      Action next = actions.peek();
      long wait = next.atNanos() - System.nanoTime();
      if (wait > 0) {
        LockSupport.parkNanos(wait);
      } else {
        actions.poll();
        next.step().run();
      }
    }
  }

  private void addClients(int gateway, int count) {
    for (int i = 0; i < count; i++) {
      SoakClient client = new SoakClient(sites.get(gateway), clientSeed++);
      clientLoop.execute(client::start);
    }
  }

  // ---- faults ----

  private void begin(PlannedFault fault) throws IOException {
    switch (fault.kind().target()) {
      case GATEWAY -> beginAtGateway(fault, gateways.get(fault.target()));
      case HOST -> beginAtHost(fault, hosts.get(fault.target()));
      case JOURNAL -> beginAtJournal(fault);
      default -> beginBusy(fault);
    }
  }

  private void beginAtGateway(PlannedFault fault, GatewayProcess gateway) throws IOException {
    switch (fault.kind()) {
      case STANDSTILL -> {
        if (gateway.stop()) {
          after(fault.lengthMillis(), gateway::resume);
        }
      }
      case RESTART -> {
        if (gateway.isInService()) {
          restart(gateway);
        }
      }
      case KILL -> {
        if (gateway.isInService()) {
          gateway.kill(Kind.KILLED);
          startAgain(gateway);
        }
      }
      case RELOAD -> {
        // The JVM ends on SIGHUP until the program has begun: see docs/incidents, open risks.
        for (int i = 0; i < 3 && gateway.isReady(); i++) {
          after(i * SIGNAL_SERIES_MILLIS, () -> gateway.signal("HUP"));
        }
      }
      case FLOOD -> flood(fault);
      default -> crowd(fault);
    }
  }

  private void flood(PlannedFault fault) {
    SoakClient.Site site = sites.get(fault.target());
    long until = System.nanoTime() + fault.lengthMillis() * MILLIS;
    SoakFlood.start(
        (Address.Tcp) site.address(),
        clientSeed++,
        () -> traffic && System.nanoTime() < until && site.acceptsConnections().getAsBoolean());
  }

  private void crowd(PlannedFault fault) {
    SoakClient.Site site = sites.get(fault.target());
    long until = System.nanoTime() + fault.lengthMillis() * MILLIS;
    SoakClient.Site crowded =
        new SoakClient.Site(
            site.gateway(),
            site.address(),
            site.loop(),
            plan,
            records,
            site.acceptsConnections(),
            () -> traffic && System.nanoTime() < until);
    for (int i = 0; i < CROWD_CLIENTS; i++) {
      SoakClient client = new SoakClient(crowded, clientSeed++);
      clientLoop.execute(client::start);
    }
  }

  /** SIGTERM with other signals in series, SIGKILL at the platform's earliest, and a new start. */
  private void restart(GatewayProcess gateway) throws IOException {
    gateway.terminate();
    after(SIGNAL_SERIES_MILLIS, () -> gateway.signal("HUP"));
    after(2 * SIGNAL_SERIES_MILLIS, () -> gateway.signal("TERM"));
    after(3 * SIGNAL_SERIES_MILLIS, () -> gateway.signal("HUP"));
    after(
        plan.killAfterMillis(),
        () -> {
          gateway.kill(Kind.KILLED_AFTER_TERM);
          startAgain(gateway);
        });
  }

  private void startAgain(GatewayProcess gateway) {
    after(
        SIGNAL_SERIES_MILLIS,
        () -> {
          gateway.awaitExit();
          if (traffic) {
            gateway.start();
          }
        });
  }

  private void beginAtHost(PlannedFault fault, SoakHost host) {
    if (fault.kind() != FaultKind.DRAIN) {
      host.begin(fault.kind(), fault.lengthMillis());
      return;
    }
    if (!host.beginDraining()) {
      return;
    }
    long told = System.nanoTime();
    long until = told + fault.lengthMillis() * MILLIS;
    records.drains.add(new SoakRecords.Drain(host.index(), told, until));
    tell(host, "leaving", 0);
    after(
        fault.lengthMillis() / 2,
        () -> {
          host.endProcess();
          tell(host, "left", 0);
        });
    at(
        until,
        () -> {
          host.startProcess();
          tell(host, "active", System.currentTimeMillis());
        });
  }

  private void tell(SoakHost host, String status, long sinceMillis) {
    journal.add(
        List.of(SoakConfiguration.endpoint(host.name(), host.address(), status, sinceMillis)));
  }

  private void beginAtJournal(PlannedFault fault) {
    long now = System.nanoTime();
    records.journalOutages.add(
        new SoakRecords.JournalOutage(now, now + fault.lengthMillis() * MILLIS));
    if (fault.kind() == FaultKind.JOURNAL_GONE || fault.kind() == FaultKind.LONG_OUTAGE) {
      journal.beGone(fault.lengthMillis());
    } else {
      journal.beSilent(fault.lengthMillis());
    }
  }

  private void beginBusy(PlannedFault fault) throws IOException {
    for (int i = 0; i < BUSY_PROCESSES; i++) {
      List<String> command = new ArrayList<>(ChildProcess.dyingWithParent());
      command.addAll(List.of("sh", "-c", "while :; do :; done"));
      Process busy = new ProcessBuilder(command).start();
      busyProcesses.add(busy);
      after(fault.lengthMillis(), busy::destroyForcibly);
    }
  }

  // ---- the end ----

  private void close() throws IOException, InterruptedException {
    traffic = false;
    for (GatewayProcess gateway : gateways) {
      gateway.kill(Kind.KILLED);
    }
    for (GatewayProcess gateway : gateways) {
      gateway.awaitExit();
    }
    busyProcesses.forEach(Process::destroyForcibly);
    hosts.forEach(SoakHost::close);
    if (journal != null) {
      journal.close();
    }
    clientLoop.close();
    hostLoop.close();
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    }
  }

  /** The log lines of all gateways with this text. */
  public List<String> logLines(String text) {
    return gateways.stream().flatMap(gateway -> gateway.logLines(text).stream()).toList();
  }
}
