package flintlead.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * What clients, hosts and lists make a gateway process keep is bounded: the process survives, and
 * usual clients are served meanwhile.
 */
@Timeout(120)
class MemoryLimitTest {

  private static final int DESCRIPTORS = 1_024;
  private static final int SMALL_HEAP_MB = 16;
  private static final int SMALLEST_HEAP_MB = 8;
  private static final String HEAD =
      "POST /call/00000000000000aa/fire HTTP/1.1\r\nHost: api\r\nX-Class: check\r\n";

  private static final String LONG_WINDOW = "\"window\":60000000";

  @TempDir private Path folder;
  private final List<TestClient> clients = new ArrayList<>();
  private PlatformFixture fixture;
  private PlatformProcess process;

  private void start(int heapMb) throws IOException {
    fixture = new PlatformFixture(1, DESCRIPTORS);
    process = new PlatformProcess(fixture, folder, DESCRIPTORS, heapMb);
    fixture.port = process.awaitPort();
  }

  @AfterEach
  void close() throws Exception {
    for (TestClient client : clients) {
      client.close();
    }
    process.close();
    fixture.close();
  }

  /** Opens connections that send the text and nothing after it. */
  private void sendOnNewConnections(int connections, String text) throws IOException {
    for (int i = 0; i < connections && process.isAlive(); i++) {
      TestClient client = fixture.client();
      clients.add(client);
      client.send(text);
    }
  }

  private void assertServes(long firstId, int invocations) throws IOException {
    for (int i = 0; i < invocations; i++) {
      assertEquals(200, fixture.invoke(firstId + i, "x").status(), process.log.toString());
    }
    assertTrue(process.isAlive(), process.log.toString());
  }

  /** Heads of many short lines took 25 times their size on the wire until the body had come. */
  @Test
  void requestsThatNeverEndDoNotExhaustTheHeap() throws Exception {
    start(SMALL_HEAP_MB);
    StringBuilder manyFields = new StringBuilder(HEAD).append("Content-Length: 812\r\n");
    while (manyFields.length() < 8_000) {
      manyFields.append("a:b\r\n");
    }
    sendOnNewConnections(120, manyFields + "\r\n");
    assertServes(1, 10);
    sendOnNewConnections(120, HEAD + ("X-Filler: " + "x".repeat(480) + "\r\n").repeat(15));
    assertServes(101, 10);
    sendOnNewConnections(120, HEAD + "Content-Length: 16000\r\n\r\n" + "x".repeat(15_990));
    assertServes(201, 10);
  }

  /** Adds hosts to the list that all have the address of the first one. */
  private void listHosts(int count) throws IOException {
    String[] endpoints = new String[count];
    for (int i = 0; i < count; i++) {
      endpoints[i] = fixture.hosts.get(0).endpoint("active").replace("s-0", "s-" + (1_000 + i));
    }
    fixture.journal.add(true, endpoints);
  }

  /** The scheduler kept an order of all hosts for each function that a client had named. */
  @Test
  void functionsThatNobodyKnowsDoNotExhaustTheHeap() throws Exception {
    start(SMALL_HEAP_MB);
    listHosts(600);
    FakeHost host = fixture.hosts.get(0);
    host.script =
        (self, from, words, body) ->
            self.answer(
                from, words[1] + (words[2].contains("item=00") ? " 200 - " : " 500 - "), body);
    try (TestClient scan = fixture.client();
        TestClient usual = fixture.client()) {
      for (int i = 0; i < 6_000 && process.isAlive(); i++) {
        String unknown = String.format("ff%014x", i);
        String request = PlatformFixture.invocationRequest(i, "x");
        int status = scan.send(request.replace("00000000000000aa", unknown)).response().status();
        assertTrue(status == 500 || status == 503, status + ": " + process.log);
        if (i % 100 == 0) {
          usual.send(PlatformFixture.invocationRequest(100_000 + i, "x"));
          assertEquals(200, usual.response().status(), process.log.toString());
        }
      }
    }
    assertServes(200_001, 10);
  }

  /**
   * The timer at the end of a key's window held the bodies of keyed invocations that had been
   * repeated, and had their answer, until the window was over.
   */
  @Test
  void bodiesOfRepeatedInvocationsAreReleasedWithTheirAnswer() throws Exception {
    fixture = new PlatformFixture(1, DESCRIPTORS).withSetting("\"window\":2000000", LONG_WINDOW);
    FakeHost second = fixture.anotherHost("s-second", 0);
    fixture.journal.add(false, second.endpoint("active"));
    process = new PlatformProcess(fixture, folder, DESCRIPTORS, SMALL_HEAP_MB);
    fixture.port = process.awaitPort();
    Set<String> resetOnce = ConcurrentHashMap.newKeySet();
    FakeHost.Script resetFirst =
        (self, from, words, body) -> {
          if (resetOnce.add(words[1])) {
            from.setSoLinger(true, 0);
            from.close();
          } else {
            self.answer(from, words[1] + " 200 - ", new byte[0]);
          }
        };
    fixture.hosts.forEach(host -> host.script = resetFirst);
    String body = "x".repeat(16_000);
    int answered = 0;
    try (TestClient client = fixture.client()) {
      for (int id = 1; id <= 1_500 && process.isAlive(); id++) {
        String headers = "X-Class: lodge\r\nX-Ttl-Ms: 1360\r\nX-Txn-Key: k" + id + "\r\n";
        client.send(PlatformFixture.invocationRequest(id, headers, body));
        answered += client.response().status() == 200 ? 1 : 0;
      }
    }
    assertTrue(process.isAlive(), process.log.toString());
    assertTrue(answered > 1_000, "answered " + answered);
  }

  /** A list of 3,200 hosts ended the process at its start where the heap was 8 MB. */
  @Test
  void aLargeFleetDoesNotExhaustTheSmallestHeap() throws Exception {
    fixture = new PlatformFixture(1, DESCRIPTORS);
    listHosts(3_200);
    process = new PlatformProcess(fixture, folder, DESCRIPTORS, SMALLEST_HEAP_MB);
    fixture.port = process.awaitPort();
    await().until(() -> process.log.stream().anyMatch(line -> line.contains("hosts_ignored")));
    assertServes(1, 50);
  }
}
