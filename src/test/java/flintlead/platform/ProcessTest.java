package flintlead.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.time.Span;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The gateway as a separate process: real signals, and a real limit on file descriptors. */
@Timeout(90)
class ProcessTest {

  private static final int DESCRIPTORS = 256;
  @TempDir private Path folder;
  private PlatformFixture fixture;
  private PlatformProcess process;

  @AfterEach
  void closeFixture() throws Exception {
    if (process != null) {
      process.close();
    }
    if (fixture != null) {
      fixture.close();
    }
  }

  private void launch() throws IOException {
    process = new PlatformProcess(fixture, folder, DESCRIPTORS);
  }

  /** Launches the process and waits until it listens. */
  private void start() throws IOException {
    launch();
    fixture.port = process.awaitPort();
  }

  @Test
  void sighupMovesTheJournalAndSigtermAnswersEverythingOpen() throws Exception {
    fixture = new PlatformFixture(1, DESCRIPTORS);
    HeldTask held = new HeldTask();
    fixture.hosts.get(0).script =
        (host, from, words, body) -> held.hold(() -> host.answer(from, words[1] + " 200 - ", body));
    start();
    FakeJournal other = fixture.anotherJournal();
    fixture.configure(other);
    process.signal("HUP");
    await().until(() -> other.receivedCommands.contains("tail 1"));
    TestClient open = fixture.client().send(PlatformFixture.invocationRequest(1, "open"));
    await().until(held::isHeld);
    process.signal("TERM");
    process.signal("HUP");
    process.signal("TERM");
    await().until(() -> process.log.contains("flintlead: INFO shutdown_draining open=1"));
    held.release();
    assertEquals("open", open.response().body());
    assertEquals(0, process.waitFor());
  }

  /** No client was accepted yet: the process ends immediately and never listens. */
  @Test
  void sigtermDuringWarmUpEndsTheProcessAtOnce() throws Exception {
    fixture = new PlatformFixture(1, DESCRIPTORS);
    launch();
    await()
        .atMost(30, TimeUnit.SECONDS)
        .until(
            () -> {
              try (Stream<Path> inside = Files.list(folder)) {
                return inside.findAny().isPresent();
              }
            });
    process.signal("TERM");
    assertEquals(0, process.waitFor());
    assertFalse(process.hasListened(), process.log.toString());
  }

  /**
   * While the journal is down, silent clients open as many connections as the gateway accepts. File
   * descriptors must remain for the journal and the hosts.
   */
  @Test
  void idleClientsLeaveDescriptorsForJournalAndHosts() throws Exception {
    fixture = new PlatformFixture(1, DESCRIPTORS);
    fixture.journal.close();
    start();
    List<TestClient> idle = new ArrayList<>();
    for (int i = 0; i < 2 * DESCRIPTORS; i++) {
      idle.add(fixture.client());
    }
    FakeHost second = fixture.anotherHost("s-second", 0);
    fixture.journal.add(false, fixture.hosts.get(0).endpoint("left"), second.endpoint("active"));
    FakeJournal back = fixture.restartedJournal();
    await().until(() -> !back.receivedCommands.isEmpty());
    int[] id = {0};
    await().until(() -> fixture.invoke(++id[0], "x").status() == 200 && second.invocations() > 0);
    assertTrue(
        process.log.stream().noneMatch(line -> line.contains("Too many open files")),
        process.log.toString());
    assertTrue(
        process.log.stream().noneMatch(line -> line.contains("log_lines_suppressed")),
        "every line was written");
    for (TestClient client : idle) {
      client.close();
    }
    assertTrue(process.isAlive());
  }

  @Test
  void malformedConfigurationExitsWith2AndOneLine() throws Exception {
    fixture = new PlatformFixture(1, DESCRIPTORS).withSetting("\"tick\":1000", "\"tick\":0");
    launch();
    assertEquals(2, process.waitFor());
    await().until(() -> !process.log.isEmpty());
    assertEquals(List.of("flintlead: settings.tick must be a number above 0"), process.log);
  }

  /**
   * Regression: if the clients of a warm-up failed, its gateway kept running beside the real one.
   */
  @Test
  void aFailedWarmUpLeavesNoThreadBehind() {
    assertThrows(
        IOException.class,
        () ->
            WarmUp.run(
                folder,
                Span.ofMillis(100),
                (socket, end) -> {
                  throw new IOException("refused");
                }));
    await()
        .until(
            () ->
                Thread.getAllStackTraces().keySet().stream()
                    .noneMatch(
                        thread ->
                            thread.getName().startsWith("platform-")
                                || thread.getName().startsWith("warm-up-")));
  }
}
