package flintlead.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.platform.journal.HostEventProcessor;
import flintlead.platform.journal.JsonReader;
import flintlead.time.Moment;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Restarts, reloads and repeated events of the host list, on real sockets. */
@Timeout(60)
class HostListRaceTest {

  private PlatformFixture fixture;

  @AfterEach
  void closeFixture() throws Exception {
    if (fixture != null) {
      fixture.close();
    }
  }

  /**
   * Regression: if SIGHUP was lost or ignored, the gateway went on connecting only to the old
   * journal.
   */
  @Test
  void aJournalFailureRereadsAChangedConfiguration() throws Exception {
    fixture = new PlatformFixture(1, 256).start();
    await().until(() -> fixture.journal.receivedCommands.size() == 1);
    FakeJournal other = fixture.anotherJournal();
    fixture.configure(other);
    java.nio.file.Files.setLastModifiedTime(
        fixture.file,
        java.nio.file.attribute.FileTime.fromMillis(System.currentTimeMillis() + 5_000));
    fixture.journal.close();
    await().until(() -> other.receivedCommands.contains("tail 1"));
  }

  /**
   * Regression: a process that was restarted under the same name and address was sent requests on
   * the connections of its predecessor.
   */
  @Test
  void aRestartedHostGetsNewConnectionsAndARepeatedEntryKeepsThem() throws Exception {
    fixture = new PlatformFixture(1, 256).start();
    FakeHost host = fixture.hosts.get(0);
    List<Socket> servedBy = new CopyOnWriteArrayList<>();
    host.script =
        (each, from, words, body) -> {
          servedBy.add(from);
          each.answer(from, words[1] + " 200 - ", body);
        };
    assertEquals(200, fixture.invoke(1, "x").status());
    // Long enough ago for the host to count as warm.
    long started = System.currentTimeMillis() - 60_000;
    fixture.journal.add(true, host.endpoint("active", started));
    await()
        .until(
            () ->
                fixture.invoke(System.nanoTime() & 0xffffff, "x").status() == 200
                    && servedBy.get(servedBy.size() - 1) != servedBy.get(0));
    Socket second = servedBy.get(servedBy.size() - 1);
    assertNotSame(servedBy.get(0), second);
    FakeHost marker = fixture.anotherHost("s-marker", 0);
    fixture.journal.add(true, host.endpoint("active", started), marker.endpoint("active"));
    await()
        .until(
            () -> {
              String function = String.format("%04x", servedBy.size() + marker.invocations());
              return statusOf(function) == 200 && marker.invocations() > 0;
            });
    int before = servedBy.size();
    await()
        .until(
            () -> {
              fixture.invoke(System.nanoTime() & 0xffffff, "x");
              return servedBy.size() > before;
            });
    assertSame(second, servedBy.get(servedBy.size() - 1));
  }

  /**
   * Regression: a repeated start time became a later moment, because the system clock may be set
   * and is read in milliseconds.
   */
  @Test
  void aRepeatedStartTimeIsTheSameMoment() {
    RecordingHostListener recorder = new RecordingHostListener();
    long[] clock = {1_000};
    HostEventProcessor events =
        new HostEventProcessor(List.of(), List.of(), ms -> new Moment(clock[0]++), 100, recorder);
    String host =
        "{\"name\":\"s-1\",\"address\":\"127.0.0.1:1\",\"status\":\"active\",\"since_ms\":%d}";
    for (String event :
        List.of(
            FakeJournal.event(1, true, String.format(host, 7)),
            FakeJournal.event(2, false, String.format(host, 7)),
            FakeJournal.event(3, true, String.format(host, 7)),
            FakeJournal.event(4, false, String.format(host, 8)))) {
      events.apply(new JsonReader().read(event.getBytes(StandardCharsets.UTF_8)));
    }
    assertEquals(
        List.of(1_000L, 1_000L, 1_000L, 1_001L),
        recorder.received().stream().map(each -> each.entry().startedAt().micros()).toList());
  }

  /** The events in the configuration may begin with a snapshot at any position. */
  @Test
  void theKnownEventsMayBeginAtAnyPosition() throws Exception {
    fixture =
        new PlatformFixture(1, 256)
            .withSetting(
                "\"known\":{\"pos\":1,\"entries\":[{\"pos\":1,",
                "\"known\":{\"pos\":9,\"entries\":[{\"pos\":9,")
            .start();
    assertEquals(200, fixture.invoke(1, "x").status());
    await().until(() -> fixture.journal.receivedCommands.contains("tail 9"));
  }

  /** Invokes another function, given by the last four digits of its ID, and returns the status. */
  private int statusOf(String function) throws IOException {
    String request = PlatformFixture.invocationRequest(System.nanoTime() & 0xffffff, "x");
    return fixture
        .client()
        .send(request.replace("00aa/fire", function + "/fire"))
        .response()
        .status();
  }

  /** A list of 3,200 hosts ended the process where the heap was small: the list has a limit. */
  @Test
  void hostsBeyondTheLimitAreIgnoredAndUsedOnceThereIsRoom() {
    RecordingHostListener recorder = new RecordingHostListener();
    HostEventProcessor events =
        new HostEventProcessor(List.of(), List.of(), Moment::new, 2, recorder);
    JsonReader json = new JsonReader();
    apply(events, json, FakeJournal.event(1, true, listed("a", "active"), listed("b", "active")));
    apply(events, json, FakeJournal.event(2, false, listed("c", "active")));
    assertEquals(List.of("a", "b"), recorder.names());
    assertEquals(1, recorder.ignored());
    apply(events, json, FakeJournal.event(3, false, listed("b", "leaving"), listed("d", "active")));
    assertEquals(List.of("a", "b", "b"), recorder.names());
    apply(events, json, FakeJournal.event(4, false, listed("a", "left")));
    apply(events, json, FakeJournal.event(5, false, listed("c", "active")));
    assertEquals(List.of("a", "b", "b", "a", "c"), recorder.names());
    apply(
        events,
        json,
        FakeJournal.event(
            6, true, listed("x", "active"), listed("y", "active"), listed("z", "active")));
    assertEquals(7, recorder.received().size());
    assertEquals(3, recorder.ignored());
  }

  private static String listed(String name, String status) {
    return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:1\",\"status\":\"" + status + "\"}";
  }

  private static void apply(HostEventProcessor events, JsonReader json, String event) {
    assertTrue(events.apply(json.read(event.getBytes(StandardCharsets.UTF_8))));
  }
}
