package flintlead.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.platform.TestClient.Response;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A complete gateway on loopback: successful invocations, faulty clients, start and shutdown. */
class PlatformTest {

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

  // ---- successful invocations ----

  @Test
  void anInvocationIsForwardedUnchanged() throws IOException {
    start(2);
    Response pong = fixture.client().send("GET /ping HTTP/1.1\r\n\r\n").response();
    assertEquals(200, pong.status());
    String body = "bytes of any kind: \r\n\0\u00ff";
    Response answer =
        fixture
            .client()
            .send(
                PlatformFixture.invocationRequest(
                    0x9b1f03aa5c7e2d41L,
                    "X-Class: lodge\r\n"
                        + "X-Ttl-Ms: 1360\r\n"
                        + "X-Txn-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n",
                    body))
            .response();
    assertEquals(200, answer.status());
    assertEquals(body, answer.body());
    String command =
        fixture.hosts.stream()
            .flatMap(host -> host.commands.stream())
            .filter(line -> !line.startsWith("there "))
            .findFirst()
            .orElseThrow();
    assertTrue(
        command.matches(
            "fire 9b1f03aa5c7e2d41 cls=lodge,item=00000000000000aa,limit=1[0-9]{3},"
                + "nonce=5c0f6e1a2b3d4c59a8b7c6d5e4f30211 "
                + body.length()),
        command);
  }

  @Test
  void aConnectionCarriesOneInvocationAfterAnother() throws IOException {
    start(1);
    TestClient client = fixture.client();
    for (int i = 1; i <= 20; i++) {
      Response answer = client.send(PlatformFixture.invocationRequest(i, "body " + i)).response();
      assertEquals("200 body " + i, answer.status() + " " + answer.body());
    }
  }

  @Test
  void withoutHostsAnInvocationIsThrottledWithARetryAfter() throws IOException {
    start(0);
    Response answer = fixture.invoke(1, "x");
    assertEquals(503, answer.status());
    assertTrue(Integer.parseInt(answer.headers().get("x-throttle-ms")) > 0);
  }

  @Test
  void anAttemptIsCancelledWhenItsClientDisconnects() throws IOException {
    start(1);
    fixture.hosts.get(0).script = (host, from, words, body) -> {};
    TestClient client = fixture.client().send(PlatformFixture.invocationRequest(7, "x"));
    await().until(() -> fixture.hosts.get(0).invocations() == 1);
    client.close();
    // Closing the connection cancels the attempt on it, as the command never_mind does.
    await().until(() -> fixture.hosts.get(0).commands.contains("closed"));
  }

  // ---- faulty clients ----

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X-Class: none\r\nX-Ttl-Ms: 100",
        "X-Class: check\r\nX-Ttl-Ms: NaN",
        "X-Class: check\r\nX-Ttl-Ms: -5",
        "X-Class: check\r\nX-Ttl-Ms: 0x10",
        "X-Class: check\r\nX-Ttl-Ms: 1e99",
        "X-Class: check",
        "X-Class: check\r\nX-Class: lodge\r\nX-Ttl-Ms: 100",
        "X-Class: check\r\nX-Ttl-Ms: 100\r\nX-Merchant: nobody",
        "X-Class: check\r\nX-Ttl-Ms: 100\r\nX-Txn: 12",
        "X-Class: check\r\nX-Ttl-Ms: 100\r\nX-Cpu-Hint: Infinity",
        "X-Class: lodge\r\nX-Ttl-Ms: 100",
        "X-Class: lodge\r\nX-Ttl-Ms: 100\r\nX-Txn-Key: a b,c=d"
      })
  void anInvalidRequestIsAnsweredWith400AndReachesNoHost(String headers) throws IOException {
    start(1);
    TestClient client =
        fixture.client().send(PlatformFixture.invocationRequest(1, headers + "\r\n", "x"));
    assertEquals(400, client.response().status());
    assertEquals(
        200,
        client.send(PlatformFixture.invocationRequest(2, "x")).response().status(),
        "the connection stays open");
    assertEquals(1, fixture.hosts.get(0).invocations());
  }

  @Test
  void aDuplicateIdIsRefusedAndTheFirstInvocationContinues() throws IOException {
    start(1);
    List<Runnable> answers = new ArrayList<>();
    fixture.hosts.get(0).script =
        (host, from, words, body) -> {
          synchronized (answers) {
            answers.add(
                () -> TestIo.inBackground(() -> host.answer(from, words[1] + " 200 - ", body)));
          }
        };
    TestClient first = fixture.client().send(PlatformFixture.invocationRequest(1, "first"));
    await().until(() -> fixture.hosts.get(0).invocations() == 1);
    assertEquals(409, fixture.invoke(1, "second").status());
    answers.get(0).run();
    assertEquals("first", first.response().body());
  }

  @Test
  void incompleteRequestsTimeOutWithinThreeSeconds() throws IOException {
    start(1);
    long from = System.nanoTime();
    TestClient silent = fixture.client();
    TestClient half =
        fixture.client().send("POST /call/00000000000000aa/fire HTTP/1.1\r\nX-Txn: 00");
    TestClient cut =
        fixture
            .client()
            .send(
                PlatformFixture.invocationRequest(1, "whole")
                    .replace("Content-Length: 5", "Content-Length: 9"));
    assertEquals(408, silent.response().status());
    assertEquals(408, half.response().status());
    assertEquals(408, cut.response().status());
    assertTrue(System.nanoTime() - from < 3_000_000_000L);
    assertEquals(0, fixture.hosts.get(0).invocations());
  }

  @Test
  void pipelinedRequestsAreRefusedInOrderAndBounded() throws IOException {
    start(1);
    List<Runnable> answers = new ArrayList<>();
    fixture.hosts.get(0).script =
        (host, from, words, body) ->
            answers.add(
                () -> TestIo.inBackground(() -> host.answer(from, words[1] + " 200 - ", body)));
    TestClient client = fixture.client().send(PlatformFixture.invocationRequest(1, "a"));
    await().until(() -> answers.size() == 1);
    client.send(
        PlatformFixture.invocationRequest(2, "b") + PlatformFixture.invocationRequest(3, "c"));
    answers.get(0).run();
    assertEquals(200, client.response().status());
    assertEquals(503, client.response().status());
    assertEquals(503, client.response().status());
    TestClient flood = fixture.client().send(PlatformFixture.invocationRequest(100, "a"));
    await().until(() -> answers.size() == 2);
    StringBuilder many = new StringBuilder();
    for (int i = 101; i < 400; i++) {
      many.append(PlatformFixture.invocationRequest(i, "x"));
    }
    flood.send(many.toString());
    answers.get(1).run();
    assertEquals(200, flood.response().status(), "the accepted invocation gets its response");
    for (int i = 0; i < 16; i++) {
      assertEquals(503, flood.response().status());
    }
    assertEquals(0, flood.response().status(), "closed");
    assertEquals(2, fixture.hosts.get(0).invocations());
  }

  @Test
  void hundredsOfSilentConnectionsLeaveRoomForAnInvocation() throws IOException {
    start(1);
    List<TestClient> silent = new ArrayList<>();
    for (int i = 0; i < 400; i++) {
      silent.add(fixture.client());
    }
    await().until(() -> fixture.invoke(5, "x").status() == 200);
    for (TestClient each : silent) {
      each.close();
    }
  }

  // ---- shutdown and start ----

  @Test
  void duringShutdownNewRequestsAreServedAndOpenOnesAnswered() throws Exception {
    start(1);
    fixture.hosts.get(0).script =
        (host, from, words, body) -> {
          if (new String(body, StandardCharsets.US_ASCII).equals("slow")) {
            await()
                .until(
                    () ->
                        !fixture.hosts.get(0).commands.isEmpty()
                            && host.commands.stream()
                                .anyMatch(c -> c.startsWith("fire 00000000000000ff")));
          }
          host.answer(from, words[1] + " 200 - ", body);
        };
    assertEquals(200, fixture.invoke(3, "loads the function").status());
    TestClient slow = fixture.client().send(PlatformFixture.invocationRequest(1, "slow"));
    await().until(() -> fixture.hosts.get(0).invocations() == 2);
    fixture.platform.shutdown();
    assertEquals(200, fixture.invoke(0xff, "x").status(), "after the signal");
    assertEquals("slow", slow.response().body());
    fixture.platform.awaitTermination();
    assertThrows(IOException.class, () -> fixture.client());
  }

  @Test
  void aMissingKeyOfTheFileIsNamedInTheError() throws IOException {
    fixture = new PlatformFixture(1, 256);
    String good = Files.readString(fixture.file);
    for (String key :
        List.of(
            "name",
            "listen",
            "seed",
            "limits",
            "journal",
            "known",
            "settings",
            "sockets",
            "services")) {
      Files.writeString(fixture.file, good.replace("\"" + key + "\":", "\"not\":"));
      String fault = assertThrows(IllegalArgumentException.class, fixture::start).getMessage();
      assertTrue(fault.contains(key), key + ": " + fault);
    }
    Files.writeString(fixture.file, good);
    assertEquals(200, fixture.start().invoke(1, "x").status());
  }
}
