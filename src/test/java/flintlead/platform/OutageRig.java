package flintlead.platform;

import flintlead.platform.FakeHost.TimedCommand;
import flintlead.platform.FakeJournal.Outage;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One gateway process with hosts, a journal with simulated outages, and clients that send
 * invocations with and without an idempotency key. Records what the hosts received and how the
 * clients were answered, and checks both.
 */
final class OutageRig implements AutoCloseable {

  /**
   * Time after the beginning of an outage from which the gateway counts as notified of all changes.
   */
  static final long NOTIFIED_AFTER_SECONDS = 4;

  private static final int DESCRIPTORS = 512;
  private static final int HOSTS = 8;
  private static final int CLIENTS = 4;
  private static final int CLIENT_PAUSE_MILLIS = 25;
  private static final int FUNCTIONS = 24;

  /**
   * Number of requests after which one function is no longer invoked and a new one takes its place.
   */
  private static final int REQUESTS_PER_NEW_FUNCTION = 32;

  /**
   * The grace period after the gateway counts as notified of a drain, plus the tolerance that the
   * platform allows for sockets.
   */
  private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_050);

  private static final double MIN_SERVED_SHARE = 0.95;

  /**
   * Maximum probes per second that one host accepts from all gateways together. One gateway needs
   * far fewer.
   */
  private static final int MAX_PROBES_PER_SECOND = 4;

  private record Drain(FakeHost host, long sinceNanos) {}

  private final PlatformFixture fixture;
  private final Path folder;
  private final List<Drain> drains = new ArrayList<>();
  private final AtomicInteger requestsServed = new AtomicInteger();
  private final AtomicInteger requestsSent = new AtomicInteger();
  private final List<Thread> clients = new ArrayList<>();
  private PlatformProcess process;
  private long outageBeganNanos;
  private volatile boolean clientsRunning;

  OutageRig(Path folder) throws IOException {
    this.folder = folder;
    this.fixture = new PlatformFixture(HOSTS, DESCRIPTORS);
  }

  FakeHost host(int index) {
    return fixture.hosts.get(index);
  }

  void startGateway() throws IOException {
    process = new PlatformProcess(fixture, folder, DESCRIPTORS);
    fixture.port = process.awaitPort();
  }

  // ---- clients ----

  void startClients() {
    clientsRunning = true;
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      Thread thread = new Thread(() -> runClient(client), "outage-client-" + i);
      clients.add(thread);
      thread.start();
    }
  }

  private void runClient(int client) {
    try (TestClient connection = fixture.client()) {
      for (long number = 1; clientsRunning; number++) {
        long id = number * CLIENTS + client;
        requestsSent.incrementAndGet();
        if (connection.send(request(id)).response().status() == 200) {
          requestsServed.incrementAndGet();
        }
        Thread.sleep(CLIENT_PAUSE_MILLIS);
      }
    } catch (IOException | InterruptedException e) {
      // Requests without an answer count as not served.
    }
  }

  /** Every second request of a client is idempotent; the others carry an idempotency key. */
  private static String request(long id) {
    String headers =
        id / CLIENTS % 2 == 0
            ? "X-Class: check\r\nX-Ttl-Ms: 1360\r\n"
            : "X-Class: lodge\r\nX-Ttl-Ms: 1360\r\nX-Txn-Key: "
                + String.format("%032x", id)
                + "\r\n";
    long retiredFunctions = id / REQUESTS_PER_NEW_FUNCTION;
    String function = String.format("%016x", 0x1000 + retiredFunctions + id % FUNCTIONS);
    return PlatformFixture.invocationRequest(id, headers, "x")
        .replace("00000000000000aa", function);
  }

  void stopClients() throws InterruptedException {
    clientsRunning = false;
    for (Thread client : clients) {
      client.join();
    }
  }

  // ---- faults ----

  void beginOutage(Outage outage) throws IOException {
    outageBeganNanos = System.nanoTime();
    requestsSent.set(0);
    requestsServed.set(0);
    fixture.journal.beginOutage(outage);
  }

  void endOutage() throws IOException {
    fixture.journal.endOutage();
  }

  /**
   * Changes the journal's address in the configuration to one where nothing listens, and sends
   * SIGHUP.
   */
  void moveJournalToClosedPort() throws IOException {
    int unused;
    try (ServerSocket socket = new ServerSocket(0)) {
      unused = socket.getLocalPort();
    }
    fixture.withSetting(fixture.journal.address(), "127.0.0.1:" + unused);
    process.signal("HUP");
  }

  /** Makes hosts drain: they stay up, and the journal records it even while it is unreachable. */
  void drain(int... hosts) throws IOException {
    for (int index : hosts) {
      FakeHost host = host(index);
      drains.add(new Drain(host, System.nanoTime()));
      host.draining = true;
      fixture.journal.add(true, host.endpoint("leaving"));
    }
  }

  /** Ends the host's process and starts another one with the same name and address. */
  void restart(int index) throws IOException {
    FakeHost before = host(index);
    fixture.journal.add(true, before.endpoint("left"));
    before.close();
    FakeHost again = FakeHost.listening(before.name, before.port());
    fixture.hosts.set(index, again);
    fixture.journal.add(true, again.endpoint("active", System.currentTimeMillis()));
  }

  // ---- checks ----

  /** Returns the violations found so far. */
  List<String> findViolations() {
    List<String> violations = new ArrayList<>();
    for (Drain drain : drains) {
      long notifiedNanos =
          Math.max(
              drain.sinceNanos,
              outageBeganNanos + TimeUnit.SECONDS.toNanos(NOTIFIED_AFTER_SECONDS));
      long late =
          drain.host.timedCommands.stream()
              .filter(
                  command -> command.isNewWork() && command.nanos() > notifiedNanos + GRACE_NANOS)
              .count();
      if (late > 0) {
        violations.add(
            late + " new-work commands sent to " + drain.host.name + " after its grace period");
      }
    }
    double servedShare = requestsServed.get() / (double) Math.max(1, requestsSent.get());
    if (servedShare < MIN_SERVED_SHARE) {
      violations.add("served only " + requestsServed + " of " + requestsSent);
    }
    fixture.hosts.forEach(host -> checkProbeRate(host, violations));
    if (!violations.isEmpty()) {
      violations.add(
          "log " + process.log.subList(Math.max(0, process.log.size() - 12), process.log.size()));
    }
    return violations;
  }

  private static void checkProbeRate(FakeHost host, List<String> violations) {
    Map<Long, Integer> perSecond = new TreeMap<>();
    for (TimedCommand command : host.timedCommands) {
      if (command.isProbe()) {
        perSecond.merge(TimeUnit.NANOSECONDS.toSeconds(command.nanos()), 1, Integer::sum);
      }
    }
    int highest = perSecond.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    if (highest > MAX_PROBES_PER_SECOND) {
      violations.add(highest + " probes within one second to " + host.name);
    }
  }

  @Override
  public void close() throws Exception {
    stopClients();
    if (process != null) {
      process.close();
    }
    fixture.close();
  }
}
