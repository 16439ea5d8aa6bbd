package flintlead.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import flintlead.gateway.Flintlead;
import flintlead.gateway.GatewayConfig;
import flintlead.gateway.ScriptedHost;
import flintlead.gateway.downstream.ClientFront;
import flintlead.gateway.downstream.FrontLimits;
import flintlead.gateway.upstream.HostSpec;
import flintlead.routing.admission.AdmissionController;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The socket itself, by a client that knows nothing but bytes: what is malformed, hostile or merely
 * odd.
 */
@Timeout(60)
class ClientFrontTest {

  /** A plain blocking socket of the platform's own, sharing no code with the front. */
  private final class Raw implements AutoCloseable {
    final SocketChannel channel;
    final BufferedReader lines;

    Raw() throws IOException {
      channel = SocketChannel.open(StandardProtocolFamily.UNIX);
      channel.connect(UnixDomainSocketAddress.of(socket));
      lines =
          new BufferedReader(
              new InputStreamReader(Channels.newInputStream(channel), StandardCharsets.UTF_8));
    }

    Raw send(String text) throws IOException {
      return send(text.getBytes(StandardCharsets.UTF_8));
    }

    Raw send(byte[] bytes) throws IOException {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
      return this;
    }

    JsonNode read() throws IOException {
      String line = lines.readLine();
      return line == null ? null : json.readTree(line);
    }

    int code() throws IOException {
      return read().path("error").path("code").asInt();
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }

  private final ObjectMapper json = new ObjectMapper();
  private Path folder;
  private Path socket;
  private ScriptedHost host;
  private Flintlead gateway;

  @BeforeEach
  void begin() throws IOException {
    folder = Files.createTempDirectory("flintlead-front");
    socket = folder.resolve("front");
    host = new ScriptedHost("a", new Address.Unix(folder.resolve("a")));
    host.echoes = true;
  }

  private void start(AdmissionController.Limits intake, FrontLimits front) throws IOException {
    gateway = Flintlead.of(GatewayConfig.example("gw")).seed(3).admissionLimits(intake).start();
    gateway.replaceHosts(List.of(HostSpec.ready("a", host.address())));
    ClientFront.open(gateway, new Address.Unix(socket), front);
  }

  private void start() throws IOException {
    start(AdmissionController.Limits.DEFAULTS, FrontLimits.DEFAULTS);
  }

  @AfterEach
  void end() throws IOException {
    gateway.kill();
    host.close();
    Files.deleteIfExists(socket);
    Files.deleteIfExists(folder.resolve("a"));
    Files.deleteIfExists(folder);
  }

  private static String invoke(String id, String function, String more) {
    return "{\"jsonrpc\":\"2.0\",\"id\":"
        + id
        + ",\"method\":\"invoke\",\"params\":{\"function\":\""
        + function
        + "\",\"triggerType\":\"check\""
        + more
        + "}}\n";
  }

  @Test
  void bytesOneByOneAndManyAtOnceAreTheSame() throws IOException {
    start();
    try (Raw raw = new Raw()) {
      for (byte each : invoke("1", "f", ",\"payload\":\"ü\"").getBytes(StandardCharsets.UTF_8)) {
        raw.send(new byte[] {each});
      }
      assertEquals("ü", raw.read().path("result").path("payload").asText());
      raw.send(invoke("2", "f", "") + invoke("\"2\"", "f", "") + invoke("2.0", "f", "") + "\n  \n");
      Set<String> ids = new HashSet<>();
      for (int i = 0; i < 3; i++) {
        ids.add(raw.read().get("id").toString());
      }
      assertEquals(Set.of("2", "\"2\"", "2.0"), ids, "ids are echoed as they came");
    }
  }

  @Test
  void eachMalformedLineGetsOneErrorAndTheConnectionLivesOn() throws IOException {
    start(AdmissionController.Limits.DEFAULTS, new FrontLimits(8, 1 << 20, Span.ZERO));
    try (Raw raw = new Raw()) {
      assertEquals(-32700, raw.send("nonsense\n").code());
      assertEquals(-32700, raw.send(new byte[] {'"', (byte) 0xff, '"', '\n'}).code());
      assertEquals(
          -32700, raw.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"a\u0000b\"}\n").code());
      assertEquals(-32600, raw.send("x".repeat((1 << 20) + 1) + "\n").code());
      assertEquals(-32700, raw.send("[".repeat(100_000) + "\n").code());
      assertEquals(-32600, raw.send("[]\n").code());
      assertEquals(
          -32601, raw.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"dance\"}\n").code());
      assertEquals(
          -32602,
          raw.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"invoke\",\"params\":[1]}\n").code());
      JsonNode unknown = raw.send(invoke("1", "f", ",\"timoutMs\":5")).read();
      assertTrue(
          unknown.path("error").path("message").asText().contains("'timoutMs'"),
          unknown.toString());
      assertEquals(-32602, raw.send(invoke("1", "f", ",\"timeoutMs\":-5")).code());
      assertEquals(-32602, raw.send(invoke("1", "f", ",\"customer\":\"none\"")).code());
      assertEquals("1", raw.send(invoke("1", "f", "")).read().get("id").toString());
    }
    assertEquals(1, gateway.counters().join().accepted());
  }

  @Test
  void aFrameOfExactlyTheBoundPasses() throws IOException {
    start(AdmissionController.Limits.DEFAULTS, new FrontLimits(8, 1 << 20, Span.ZERO));
    String head = invoke("1", "f", ",\"payload\":\"");
    String most =
        head.substring(0, head.length() - 3) + "x".repeat((1 << 20) - head.length()) + "\"}}\n";
    try (Raw raw = new Raw()) {
      assertEquals((1 << 20) + 1, most.length());
      JsonNode answer = raw.send(most).read();
      assertTrue(answer.has("result"), answer.toString());
    }
  }

  @Test
  void aNotificationIsNotRunAndAnIdInUseIsRefusedUnderNoId() throws Exception {
    start();
    host.echoes = false;
    try (Raw raw = new Raw()) {
      raw.send(
          "{\"jsonrpc\":\"2.0\",\"method\":\"invoke\",\"params\":{\"function\":\"n\",\"triggerType\":\"check\"}}\n");
      raw.send(invoke("7", "f", "") + invoke("7", "g", ""));
      JsonNode second = raw.read();
      assertTrue(
          second.get("id").isNull() && second.path("error").path("message").asText().contains("7"));
      ScriptedHost.ReceivedRequest got = host.next();
      assertEquals("f", got.params.string("function"));
      got.answer();
      assertEquals(7, raw.read().get("id").asInt());
    }
    assertEquals(1, gateway.counters().join().accepted());
  }

  @Test
  void aBatchIsAnsweredTogetherAndInItsShortestTime() throws Exception {
    start();
    host.echoes = false;
    try (Raw raw = new Raw()) {
      String batch =
          "["
              + invoke("1", "f", ",\"timeoutMs\":300").trim()
              + ","
              + invoke("2", "g", "").trim()
              + ",3,{\"jsonrpc\":\"2.0\",\"method\":\"ping\"},{\"jsonrpc\":\"2.0\",\"id\":4,\"method\":\"ping\"}]\n";
      long begun = System.nanoTime();
      raw.send(batch);
      host.next().answer();
      JsonNode answers = raw.read();
      assertEquals(4, answers.size(), "one for each but the notification: " + answers);
      assertTrue(
          System.nanoTime() - begun < 1_500_000_000L,
          "no member waits for longer than the shortest");
      Set<String> ids = new HashSet<>();
      answers.forEach(each -> ids.add(each.get("id").toString()));
      assertEquals(Set.of("1", "2", "null", "4"), ids);
      raw.send(
          "[{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}]\n"
              + "{\"jsonrpc\":\"2.0\",\"id\":9,\"method\":\"ping\"}\n");
      assertEquals(
          9, raw.read().get("id").asInt(), "a batch of notifications is answered by nothing");
    }
  }

  @Test
  void cancelAnswersBothAndCallsTheHostBack() throws Exception {
    start();
    host.echoes = false;
    try (Raw raw = new Raw()) {
      raw.send(invoke("\"a\"", "f", ""));
      ScriptedHost.ReceivedRequest got = host.next();
      raw.send("{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"cancel\",\"params\":{\"id\":\"a\"}}\n");
      JsonNode first = raw.read();
      assertEquals("a", first.get("id").asText());
      assertEquals(-32002, first.path("error").path("code").asInt());
      assertTrue(first.path("error").path("data").path("mayHaveRun").asBoolean());
      assertTrue(raw.read().path("result").path("cancelled").asBoolean());
      assertEquals(got.id.asNumber(), host.cancels.take());
      raw.send("{\"jsonrpc\":\"2.0\",\"id\":3,\"method\":\"cancel\",\"params\":{\"id\":\"a\"}}\n");
      assertEquals("false", raw.read().path("result").path("cancelled").toString());
    }
  }

  @Test
  void aFullWindowIsLeftUnreadAndGoesOnBelowIt() throws Exception {
    start(
        new AdmissionController.Limits(
            1_000, 1 << 20, 100, 8, 1 << 20, 1 << 20, 1 << 21, Span.ofMillis(10_000)),
        FrontLimits.DEFAULTS);
    host.echoes = false;
    try (Raw raw = new Raw()) {
      StringBuilder many = new StringBuilder();
      for (int i = 0; i < 40; i++) {
        many.append(invoke("" + i, "f" + i, ",\"timeoutMs\":60000"));
      }
      raw.send(many.toString());
      Awaitility.await().until(() -> gateway.counters().join().accepted() == 8);
      assertEquals(8, gateway.counters().join().accepted(), "no more than the window is taken");
      host.echoes = true;
      Runnable answering =
          () -> {
            for (ScriptedHost.ReceivedRequest got = host.receivedRequests.poll();
                got != null;
                got = host.receivedRequests.poll()) {
              got.answer();
            }
          };
      Awaitility.await()
          .until(
              () -> {
                answering.run();
                return gateway.counters().join().accepted() == 40;
              });
      Set<Integer> answered = new HashSet<>();
      while (answered.size() < 40) {
        answering.run();
        answered.add(raw.read().get("id").asInt());
      }
    }
  }

  @Test
  void aClientThatNeverReadsIsCutOffAndHarmsNoOther() throws Exception {
    start(
        new AdmissionController.Limits(
            1_000, 1 << 24, 100, 500, 1 << 24, 1 << 18, 1 << 22, Span.ofMillis(200)),
        new FrontLimits(8, 1 << 20, Span.ZERO));
    try (Raw deaf = new Raw();
        Raw other = new Raw()) {
      byte[] big =
          invoke("1", "f", ",\"payload\":\"" + "x".repeat(100_000) + "\"")
              .getBytes(StandardCharsets.UTF_8);
      deaf.channel.configureBlocking(false);
      ByteBuffer buffer = ByteBuffer.wrap(big);
      int[] rounds = {0};
      Awaitility.await()
          .until(
              () -> {
                try {
                  while (deaf.channel.write(buffer) > 0 && rounds[0] < 10_000) {
                    if (!buffer.hasRemaining()) {
                      buffer.clear();
                      rounds[0]++;
                    }
                  }
                  return rounds[0] >= 10_000;
                } catch (IOException cutOff) {
                  return true;
                }
              });
      assertTrue(rounds[0] < 10_000, "it was cut off before it had sent a gigabyte");
      assertTrue(other.send(invoke("1", "g", "")).read().has("result"));
    }
    Awaitility.await().until(() -> gateway.counters().join().pending() == 0);
  }

  @Test
  void sixtyFourClientsComeAndGoAtOnce() throws Exception {
    start();
    List<Thread> threads = new ArrayList<>();
    List<String> wrong = java.util.Collections.synchronizedList(new ArrayList<>());
    for (int t = 0; t < 64; t++) {
      int number = t;
      Thread thread =
          new Thread(
              () -> {
                for (int i = 0; i < 5; i++) {
                  try (Raw raw = new Raw()) {
                    raw.send(invoke("" + i, "f" + number % 7, ""));
                    // Every other one leaves without its answer.
                    if (number % 2 == 0 && !raw.read().has("result")) {
                      wrong.add(number + "/" + i);
                    }
                  } catch (IOException e) {
                    wrong.add(e.toString());
                  }
                }
              });
      threads.add(thread);
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    assertEquals(List.of(), wrong);
    Awaitility.await().until(() -> gateway.counters().join().unfinished() == 0);
    assertEquals(0, gateway.counters().join().pending());
  }

  @Test
  void oneConnectionTooManyIsToldSoUnlessAnIdleOneCanGo() throws Exception {
    start(AdmissionController.Limits.DEFAULTS, new FrontLimits(2, 1 << 16, Span.ofMillis(1)));
    host.echoes = false;
    try (Raw one = new Raw();
        Raw two = new Raw()) {
      one.send(invoke("1", "f", ",\"timeoutMs\":60000"));
      two.send(invoke("1", "g", ",\"timeoutMs\":60000"));
      ScriptedHost.ReceivedRequest first = host.next();
      ScriptedHost.ReceivedRequest second = host.next();
      try (Raw three = new Raw()) {
        assertEquals(-32001, three.code());
        assertNull(three.read());
      }
      (first.params.string("function").equals("f") ? first : second).answer();
      assertTrue(one.read().has("result"));
      LockSupport.parkNanos(2_000_000);
      try (Raw four = new Raw()) {
        assertTrue(
            four.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}\n").read().has("result"));
        assertNull(one.read(), "the idle one made room");
      }
    }
  }

  /**
   * A stalled loop: what lay in the kernel meanwhile is read before late timers judge the host by
   * its silence.
   */
  @Test
  void answersThatWaitedOutAStallAreNotCalledSilence() throws Exception {
    NettyEventLoop loop = new NettyEventLoop("stalled");
    gateway = Flintlead.of(GatewayConfig.example("gw")).seed(3).runOn(loop).start();
    gateway.replaceHosts(List.of(HostSpec.ready("a", host.address())));
    ClientFront.open(gateway, new Address.Unix(socket), FrontLimits.DEFAULTS);
    host.echoes = false;
    try (Raw raw = new Raw()) {
      List<ScriptedHost.ReceivedRequest> out = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        raw.send(invoke("" + i, "f" + i, ",\"timeoutMs\":5000"));
        out.add(host.next());
      }
      loop.execute(
          () -> {
            out.forEach(ScriptedHost.ReceivedRequest::answer);
            LockSupport.parkNanos(1_300_000_000L);
          });
      for (int i = 0; i < 4; i++) {
        assertTrue(raw.read().has("result"));
      }
    }
    // Had the silence timers gone first, the host would have been set aside and the four sent
    // again.
    assertEquals(4, gateway.counters().join().attempts(), "nothing was sent twice");
    gateway.kill();
    loop.close();
  }

  /**
   * Unfinished lines of 200 clients took all memory of a daemon, and it served nobody. Above the
   * limit the line that began first is refused; its client and all others are served.
   */
  @Test
  void theOldestUnfinishedLineIsRefusedAtTheMemoryLimit() throws IOException {
    FrontLimits limits = new FrontLimits(8, 1 << 20, Span.ZERO).withSharedBytes(1 << 20, 1 << 20);
    start(AdmissionController.Limits.DEFAULTS, limits);
    try (Raw first = new Raw();
        Raw second = new Raw();
        Raw usual = new Raw()) {
      first.send("x".repeat(600_000));
      second.send("x".repeat(600_000));
      JsonNode refusal = first.read().path("error");
      assertEquals(-32001, refusal.path("code").asInt(), refusal.toString());
      assertTrue(refusal.path("message").asText().contains("unfinished"), refusal.toString());
      assertEquals("7", usual.send(invoke("7", "f", "")).read().get("id").toString());
      assertEquals("8", first.send("x\n" + invoke("8", "f", "")).read().get("id").toString());
      assertEquals(-32700, second.send("\n").code());
    }
  }
}
