package flintlead.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import flintlead.platform.TestClient.Response;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A complete gateway on loopback, with faulty hosts and a faulty journal service. */
class PlatformHostTest {

  private PlatformFixture fixture;

  @AfterEach
  void closeFixture() throws Exception {
    if (fixture != null) {
      fixture.close();
    }
  }

  private void start(int hosts) throws IOException {
    fixture = new PlatformFixture(hosts, 256).start();
  }

  // ---- faulty hosts ----

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\u0001\u0002noise\r\n",
        "ID 200 - 3000000000\r\nxxxx",
        "ID 200 - 2\r\nlonger\r\n",
        "ID 200 -\r\n",
        "ID 777 - 0\r\n\r\n",
        "ID 200 - 9\r\nstops"
      })
  void aMalformedResponseIsNeverForwardedAndTheInvocationIsRetried(String malformed)
      throws IOException {
    start(2);
    boolean[] once = new boolean[1];
    fixture.hosts.forEach(
        each ->
            each.script =
                (host, from, words, body) -> {
                  synchronized (once) {
                    if (!once[0]) {
                      once[0] = true;
                      host.write(from, malformed.replace("ID", words[1]));
                      return;
                    }
                  }
                  host.answer(from, words[1] + " 200 - ", body);
                });
    Response answer = fixture.invoke(1, "good");
    assertEquals("200 good", answer.status() + " " + answer.body());
    assertEquals(2, fixture.hosts.get(0).invocations() + fixture.hosts.get(1).invocations());
  }

  @Test
  void duplicateAndUnknownResponsesAreIgnored() throws IOException {
    start(1);
    fixture.hosts.get(0).script =
        (host, from, words, body) -> {
          host.answer(from, "00000000000000ff 200 - ", new byte[3]);
          host.answer(from, words[1] + " 200 - ", body);
          host.answer(from, words[1] + " 200 - ", new byte[4]);
        };
    TestClient client = fixture.client();
    for (int i = 1; i <= 5; i++) {
      assertEquals(
          "good " + i,
          client.send(PlatformFixture.invocationRequest(i, "good " + i)).response().body());
    }
  }

  @Test
  void aKilledHostIsReplacedByAnother() throws IOException {
    start(2);
    fixture.hosts.get(0).close();
    for (int i = 1; i <= 10; i++) {
      assertEquals(200, fixture.invoke(i, "x").status());
    }
    assertEquals(10, fixture.hosts.get(1).invocations());
  }

  @Test
  void aHostWhoseAddressFailsAtOnceIsReplacedByAnother() throws Exception {
    start(1);
    fixture.journal.add(
        true,
        fixture
            .hosts
            .get(0)
            .endpoint("active")
            .replaceAll("127[^\"]*", "unix:/none")
            .replace("s-0", "s-none"));
    await().until(() -> fixture.log.isEmpty() && fixture.journal.receivedCommands.size() == 1);
    for (int i = 1; i <= 20; i++) {
      int id = i;
      assertEquals(
          200,
          fixture
              .client()
              .send(
                  PlatformFixture.invocationRequest(id, "x")
                      .replace("00aa/fire", String.format("%04x/fire", id)))
              .response()
              .status());
    }
  }

  @Test
  void aResetConnectionDoesNotEjectALivingHost() throws IOException {
    start(1);
    int[] count = new int[1];
    fixture.hosts.get(0).script =
        (host, from, words, body) -> {
          if (count[0]++ == 3) {
            host.reset(from);
          } else {
            host.answer(from, words[1] + " 200 - ", body);
          }
        };
    for (int i = 1; i <= 8; i++) {
      assertEquals(
          200,
          fixture.invoke(i, "x").status(),
          "invocation " + i + ": idempotent, and the host is alive");
    }
    assertEquals(9, fixture.hosts.get(0).invocations());
  }

  // ---- the host list ----

  @Test
  void aDrainingHostGetsNothingNewAndItsSuccessorGetsItsOwnConnection() throws Exception {
    start(1);
    FakeHost old = fixture.hosts.get(0);
    assertEquals(200, fixture.invoke(1, "x").status());
    FakeHost second = fixture.anotherHost("s-new", 0);
    fixture.journal.add(true, old.endpoint("leaving"), second.endpoint("active"));
    await().until(() -> fixture.invoke(2, "x").status() == 200 && second.invocations() > 0);
    long before = old.invocations();
    for (int i = 10; i < 20; i++) {
      assertEquals(200, fixture.invoke(i, "x").status());
    }
    assertEquals(before, old.invocations());
    fixture.journal.add(true, old.endpoint("left"));
    int port = old.port();
    old.close();
    // Retries until the accepting thread has released the port.
    FakeHost successor =
        await()
            .ignoreException(java.net.BindException.class)
            .until(() -> fixture.anotherHost("s-heir", port), host -> true);
    fixture.journal.add(true, second.endpoint("left"), successor.endpoint("active"));
    await().until(() -> fixture.invoke(3, "x").status() == 200 && successor.invocations() > 0);
  }

  @ParameterizedTest
  @ValueSource(strings = {"break", "half", "twice", "noise", "gap"})
  void hostEventsContinueAfterEveryJournalFault(String fault) throws Exception {
    start(1);
    await().until(() -> fixture.journal.receivedCommands.equals(List.of("tail 1")));
    FakeHost second = fixture.anotherHost("s-second", 0);
    String event =
        FakeJournal.event(
            2, false, fixture.hosts.get(0).endpoint("left"), second.endpoint("active"));
    boolean again = !fault.equals("twice");
    fixture.journal.add(!again, fixture.hosts.get(0).endpoint("left"), second.endpoint("active"));
    switch (fault) {
      case "half" -> {
        fixture.journal.sendAll(event.substring(0, 40));
        fixture.journal.breakConnections();
      }
      case "twice" -> fixture.journal.sendAll(event + "\n2\n");
      case "noise" -> fixture.journal.sendAll("{{{\u0001\n");
      case "gap" -> fixture.journal.sendAll(FakeJournal.event(3, true) + "\n");
      default -> fixture.journal.breakConnections();
    }
    await().until(() -> fixture.invoke(2, "x").status() == 200 && second.invocations() > 0);
    assertEquals(
        again ? List.of("tail 1", "tail 1") : List.of("tail 1"), fixture.journal.receivedCommands);
  }

  @Test
  void aSilentJournalIsAskedAgain() throws Exception {
    start(1);
    fixture.journal.beginOutage(FakeJournal.Outage.SILENT);
    await().until(() -> fixture.journal.receivedCommands.size() == 2);
  }

  @Test
  void aReloadMovesToTheNewJournalAndRetriesAMalformedFile() throws Exception {
    start(1);
    FakeJournal other = fixture.anotherJournal();
    Files.writeString(fixture.file, "{\"name\":\"n0\",");
    fixture.platform.reload();
    assertEquals(200, fixture.invoke(1, "x").status());
    fixture.configure(other);
    await().until(() -> other.receivedCommands.contains("tail 1"));
    assertEquals(200, fixture.invoke(2, "x").status());
  }
}
