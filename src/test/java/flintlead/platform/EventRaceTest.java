package flintlead.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.platform.TestClient.Response;
import flintlead.platform.journal.HostEventProcessor;
import flintlead.platform.journal.JournalClient;
import flintlead.platform.journal.JsonReader;
import flintlead.scheduling.lease.HostLeases;
import flintlead.time.Moment;
import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.helpers.NOPLogger;

/**
 * Races between two events, on real sockets: a fake host or journal delays one event until the
 * other has happened.
 */
@Timeout(60)
class EventRaceTest {

  private PlatformFixture fixture;

  @AfterEach
  void closeFixture() throws Exception {
    if (fixture != null) {
      fixture.close();
    }
  }

  private boolean logged(String line) {
    return fixture.log.contains(line);
  }

  // ---- a client disconnects while its attempt is queued ----

  /**
   * Regression: where hosts do not support cancellation, a queued attempt was sent after its client
   * had disconnected.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aQueuedAttemptIsNotSentAfterItsClientDisconnected(boolean cancellations) throws Exception {
    fixture =
        new PlatformFixture(0, 256)
            .withSetting("\"cancel\":true", "\"cancel\":" + cancellations)
            .withSetting("\"dial_timeout\":250000", "\"dial_timeout\":20000000")
            .start();
    FakeHost held = fixture.notAcceptingHost("s-held");
    fixture.journal.add(true, held.endpoint("active"));
    String headers = "X-Class: check\r\nX-Ttl-Ms: 30000\r\n";
    await()
        .until(
            () -> {
              // Repeated until the host is known: without a host, an invocation is throttled.
              TestClient client =
                  fixture
                      .client()
                      .send(
                          PlatformFixture.invocationRequest(
                              System.nanoTime() & 0xffffff, headers, "gone"));
              try (client) {
                return !client.answeredWithin(400);
              }
            });
    held.accept();
    Response answer =
        fixture.client().send(PlatformFixture.invocationRequest(2, headers, "stays")).response();
    assertEquals("200 stays", answer.status() + " " + answer.body());
    assertEquals(List.of("stays"), List.copyOf(held.bodies));
  }

  // ---- shutdown ----

  /**
   * Regression: shutdown ended 4.25 s after SIGTERM even with open invocations, and clients with
   * longer timeouts got no response.
   */
  @Test
  void openInvocationsAreAnsweredBeforeShutdownClosesTheirConnections() throws Exception {
    fixture =
        new PlatformFixture(1, 256)
            .withSetting("\"deadline\":1360000", "\"deadline\":27000000")
            .withSetting("\"aim\":340000", "\"aim\":20000000")
            .withSetting("\"aim\":550000", "\"aim\":20000000")
            .start();
    fixture.hosts.get(0).script = (host, from, words, body) -> {};
    TestClient idempotent =
        fixture
            .client()
            .send(
                PlatformFixture.invocationRequest(1, "X-Class: check\r\nX-Ttl-Ms: 27000\r\n", "x"));
    TestClient tokened =
        fixture
            .client()
            .send(
                PlatformFixture.invocationRequest(
                        2, "X-Class: lodge\r\nX-Ttl-Ms: 27000\r\nX-Txn-Key: k\r\n", "x")
                    .replace("00aa/fire", "00ab/fire"));
    await().until(() -> fixture.hosts.get(0).invocations() == 2);
    long from = System.nanoTime();
    fixture.platform.shutdown();
    Response first = idempotent.response();
    assertEquals(503, first.status());
    assertTrue(Integer.parseInt(first.headers().get("x-throttle-ms")) > 0);
    int second = tokened.response().status();
    assertTrue(second == 500 || second == 503, "answered: " + second);
    fixture.platform.awaitTermination();
    assertTrue(System.nanoTime() - from < 3_700_000_000L, "before it may be killed");
  }

  /**
   * Regression: idle connections, and those with a partial request, were closed 750 ms after
   * SIGTERM.
   */
  @Test
  void aRequestOnAnyConnectionIsServedUntilShutdownEnds() throws Exception {
    fixture = new PlatformFixture(1, 256).start();
    HeldTask slow = new HeldTask();
    fixture.hosts.get(0).script =
        (host, from, words, body) -> {
          if (new String(body, StandardCharsets.US_ASCII).equals("slow")) {
            slow.hold(() -> host.answer(from, words[1] + " 200 - ", body));
          } else {
            host.answer(from, words[1] + " 200 - ", body);
          }
        };
    TestClient idle = fixture.client();
    assertEquals(200, idle.send(PlatformFixture.invocationRequest(1, "a")).response().status());
    TestClient open = fixture.client().send(PlatformFixture.invocationRequest(2, "slow"));
    String half = PlatformFixture.invocationRequest(3, "half");
    TestClient halfway = fixture.client().send(half.substring(0, 40));
    await().until(slow::isHeld);
    fixture.platform.shutdown();
    await().until(() -> logged("flintlead: INFO shutdown_draining open=1"));
    Response onIdle = idle.send(PlatformFixture.invocationRequest(4, "on an idle one")).response();
    assertEquals("on an idle one", onIdle.body());
    assertEquals("close", onIdle.headers().get("connection"));
    assertEquals("half", halfway.send(half.substring(40)).response().body());
    assertEquals("on a new one", fixture.invoke(5, "on a new one").body());
    slow.release();
    assertEquals("slow", open.response().body());
    fixture.platform.awaitTermination();
  }

  /**
   * With client timeouts under 750 ms, SIGKILL may follow SIGTERM after 0.7 s plus that timeout.
   */
  @Test
  void shutdownIsShorterWithShortClientTimeouts() throws Exception {
    fixture =
        new PlatformFixture(1, 256)
            .withSetting("\"deadline\":1360000", "\"deadline\":100000")
            .start();
    TestClient silent = fixture.client().send("POST /call/00");
    assertEquals(200, fixture.invoke(1, "x").status());
    long from = System.nanoTime();
    fixture.platform.shutdown();
    fixture.platform.awaitTermination();
    assertTrue(System.nanoTime() - from < 800_000_000L);
    assertEquals(0, silent.response().status());
  }

  /** Regression: a reload during shutdown connected to the new journal service. */
  @Test
  void aReloadAfterShutdownConnectsToNoJournal() throws Exception {
    fixture = new PlatformFixture(1, 256);
    FakeJournal other = fixture.anotherJournal();
    NettyEventLoop loop = new NettyEventLoop("tail");
    HostEventProcessor events =
        new HostEventProcessor(List.of(), List.of(), Moment::new, 100, new RecordingHostListener());
    JournalClient tail =
        new JournalClient(
            Address.parseTcp(fixture.journal.address()),
            loop,
            loop,
            events,
            HostLeases.ofAuthoritativeList(),
            new JsonReader(),
            new Random(1),
            () -> {},
            NOPLogger.NOP_LOGGER);
    loop.execute(tail::start);
    await().until(() -> fixture.journal.receivedCommands.size() == 1);
    loop.execute(
        () -> {
          tail.stop();
          tail.changeAddress(Address.parseTcp(other.address()));
        });
    loop.execute(() -> {});
    Socket afterwards =
        new Socket("127.0.0.1", ((Address.Tcp) Address.parseTcp(other.address())).port());
    afterwards.getOutputStream().write("tail 7\n".getBytes(StandardCharsets.US_ASCII));
    await().until(() -> other.receivedCommands.contains("tail 7"));
    assertEquals(List.of("tail 7"), other.receivedCommands);
    afterwards.close();
    loop.close();
  }

  /**
   * Regression found by the soak test: a gateway whose address was still in use exited with code 2.
   */
  @Test
  void aStartWaitsUntilItsAddressIsFree() throws Exception {
    fixture = new PlatformFixture(1, 256);
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      fixture.withSetting("127.0.0.1:0", "127.0.0.1:" + taken.getLocalPort());
      List<Boolean> started = new CopyOnWriteArrayList<>();
      TestIo.inBackground(
          () -> {
            fixture.start();
            started.add(true);
          });
      await().until(() -> fixture.log.stream().anyMatch(line -> line.contains("listen_failed")));
      taken.close();
      await().until(() -> !started.isEmpty());
    }
    assertEquals(200, fixture.invoke(1, "x").status());
  }
}
