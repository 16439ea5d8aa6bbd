package flintlead.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A gateway process that is stalled (SIGSTOP, SIGCONT) while requests arrive and clients
 * disconnect: what it then reads from its sockets is older than it appears.
 */
@Timeout(90)
class StandstillTest {

  private static final int DESCRIPTORS = 512;
  private static final int CLIENTS = 60;

  /**
   * Long enough for the kernel to retry a connection whose first packet was dropped, which it does
   * after a second.
   */
  private static final long CONNECT_RETRY_MILLIS = 1_500;

  private static final long STALL_MILLIS = 600;
  private static final long CLIENT_TIMEOUT_MILLIS = 1_360;

  /** By how much the timeout passed on to a host may exceed the client's remaining time. */
  private static final long DEADLINE_SLACK_MILLIS = 150;

  /** How long the process stays stopped after SIGTERM was sent. */
  private static final long SIGNAL_WAIT_MILLIS = 1_700;

  /** How long after SIGTERM the platform may kill the process. */
  private static final long KILL_AFTER_MILLIS = CLIENT_TIMEOUT_MILLIS + 700;

  @TempDir private Path folder;
  private PlatformFixture fixture;
  private PlatformProcess process;

  @BeforeEach
  void start() throws Exception {
    fixture = new PlatformFixture(3, DESCRIPTORS);
    process = new PlatformProcess(fixture, folder, DESCRIPTORS);
    fixture.port = process.awaitPort();
    for (int i = 0; i < 20; i++) {
      assertEquals(200, fixture.invoke(0x1000 + i, "warm").status());
    }
  }

  @AfterEach
  void end() throws Exception {
    process.close();
    fixture.close();
  }

  /** One client that sends its request while the gateway is stalled. */
  private record Caller(long id, TestClient connection, long sentNanos) {}

  private List<Caller> sendDuringStall(List<TestClient> connections) throws IOException {
    List<Caller> callers = new ArrayList<>();
    for (TestClient connection : connections) {
      long id = callers.size() + 1L;
      callers.add(new Caller(id, connection, System.nanoTime()));
      connection.send(PlatformFixture.invocationRequest(id, "x"));
    }
    return callers;
  }

  /** The largest {@code limit} of the attempts that reached a host, by the invocation's id. */
  private Map<Long, Long> limitsByInvocation() {
    Map<Long, Long> limits = new HashMap<>();
    for (FakeHost host : fixture.hosts) {
      for (String command : host.commands) {
        if (command.startsWith("fire ")) {
          long id = Long.parseUnsignedLong(command.split(" ")[1], 16);
          String limit = command.replaceAll(".*limit=(\\d+).*", "$1");
          limits.merge(id, Long.parseLong(limit), Math::max);
        }
      }
    }
    return limits;
  }

  private static List<TestClient> everyOther(List<TestClient> all, int offset) {
    List<TestClient> some = new ArrayList<>();
    for (int i = offset; i < all.size(); i += 2) {
      some.add(all.get(i));
    }
    return some;
  }

  @Test
  void nothingIsForwardedForDisconnectedClientsAndNoDeadlineIsExtended() throws Exception {
    List<TestClient> connections = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      connections.add(fixture.client());
    }
    assertEquals(200, fixture.invoke(0x2000, "all earlier connections are accepted").status());
    process.suspend();
    List<Caller> callers = sendDuringStall(connections);
    for (TestClient leaving : everyOther(connections, 0)) {
      leaving.close();
    }
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(STALL_MILLIS));
    long continuedNanos = System.nanoTime();
    process.signal("CONT");
    for (TestClient staying : everyOther(connections, 1)) {
      assertEquals(200, staying.response().status());
    }
    assertEquals(200, fixture.invoke(0x3000, "all earlier requests are handled").status());
    verify(callers, continuedNanos);
    for (TestClient staying : everyOther(connections, 1)) {
      staying.close();
    }
  }

  private void verify(List<Caller> callers, long continuedNanos) {
    Map<Long, Long> limits = limitsByInvocation();
    List<String> violations = new ArrayList<>();
    for (Caller caller : callers) {
      Long limit = limits.get(caller.id());
      boolean left = caller.id() % 2 == 1;
      if (left && limit != null) {
        violations.add(caller.id() + " was forwarded after its client had disconnected");
      }
      long waited = TimeUnit.NANOSECONDS.toMillis(continuedNanos - caller.sentNanos());
      if (limit != null && limit > CLIENT_TIMEOUT_MILLIS - waited + DEADLINE_SLACK_MILLIS) {
        violations.add(
            caller.id()
                + " was forwarded with a limit of "
                + limit
                + " ms after waiting for "
                + waited
                + " ms");
      }
    }
    assertEquals(List.of(), violations, () -> process.log.toString());
  }

  private static boolean isUnansweredFor(TestClient client) throws IOException {
    if (client.answeredWithin(100)) {
      client.response();
      return false;
    }
    return true;
  }

  /** A client disconnects while its request waits for a connection to a host. */
  @Test
  void aRequestThatWaitedForAConnectionIsNotForwardedAfterItsClientDisconnected() throws Exception {
    FakeHost late = fixture.notAcceptingHost("s-late");
    String[] others =
        fixture.hosts.stream().limit(3).map(host -> host.endpoint("left")).toArray(String[]::new);
    fixture.journal.add(true, others);
    fixture.journal.add(true, late.endpoint("active"));
    TestClient client = fixture.client();
    int[] id = {0x4000};
    // An immediate response means that the host list has not been applied yet.
    await()
        .until(() -> isUnansweredFor(client.send(PlatformFixture.invocationRequest(++id[0], "x"))));
    process.suspend();
    client.close();
    late.accept();
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(CONNECT_RETRY_MILLIS));
    process.signal("CONT");
    await().until(() -> fixture.invoke(++id[0], "y").status() == 200);
    long waiting = late.bodies.stream().filter("x"::equals).count();
    assertEquals(0, waiting, "forwarded after its client had disconnected");
  }

  /**
   * SIGTERM arrives while the process is stalled. The platform counts from when it sent the signal,
   * and kills the process before a request that arrives late in the shutdown would time out.
   */
  @Test
  void aShutdownCountsFromWhenItsSignalMayHaveBeenSent() throws Exception {
    for (FakeHost host : fixture.hosts) {
      host.script = (self, from, words, body) -> {};
    }
    TestClient late = fixture.client();
    process.suspend();
    final long sentNanos = System.nanoTime();
    process.signal("TERM");
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SIGNAL_WAIT_MILLIS));
    process.signal("CONT");
    awaitLine("process_stood_still");
    late.send(PlatformFixture.invocationRequest(0x5000, "x"));
    assertTrue(late.response().status() >= 500, "no final response");
    long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
    assertTrue(took < KILL_AFTER_MILLIS, () -> "answered " + took + " ms after SIGTERM");
  }

  private void awaitLine(String part) {
    await().until(() -> process.log.stream().anyMatch(line -> line.contains(part)));
  }
}
