package flintlead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import flintlead.platform.FakeJournal.Outage;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The journal is out of reach for longer than silence counts as told, while hosts drain that stay
 * up and turn new work away. What it would have told counts as told 4 s after the outage began at
 * the latest; a send later than the grace after that breaks the rule on draining hosts. Each
 * scenario has a gateway process, hosts, clients and a journal of its own; those of a test are
 * played side by side.
 */
@Timeout(120)
class DiscoveryOutageTest {

  private static final int WARM_UP_MILLIS = 2_500;
  private static final int EARLY_DRAIN_MILLIS = 500;
  private static final int LATE_DRAIN_MILLIS = 5_500;
  private static final int OUTAGE_MILLIS = 9_000;
  private static final int AFTER_MILLIS = 1_500;

  @TempDir private Path folder;

  /** Plays scenarios side by side; each returns what it has found wrong. */
  private interface Scenario {
    List<String> play(OutageRig rig) throws IOException, InterruptedException;
  }

  private CompletableFuture<List<String>> begin(String name, Scenario scenario) {
    CompletableFuture<List<String>> done = new CompletableFuture<>();
    Thread thread =
        new Thread(
            () -> {
              try {
                Path own = Files.createDirectory(folder.resolve(name));
                try (OutageRig rig = new OutageRig(own)) {
                  List<String> found = new ArrayList<>();
                  scenario.play(rig).forEach(fault -> found.add(name + ": " + fault));
                  done.complete(found);
                }
              } catch (Exception | AssertionError e) {
                done.completeExceptionally(e);
              }
            });
    thread.start();
    return done;
  }

  private static void verify(List<CompletableFuture<List<String>>> plays) {
    List<String> found = new ArrayList<>();
    plays.forEach(play -> found.addAll(play.join()));
    assertEquals(List.of(), found, () -> String.join("\n", found));
  }

  private static void pause(long millis) {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  /** Two hosts drain right after the outage began, two more when it has lasted for long. */
  private static List<String> drainsDuringOutage(OutageRig rig, Outage way)
      throws IOException, InterruptedException {
    rig.startGateway();
    rig.startClients();
    pause(WARM_UP_MILLIS);
    rig.beginOutage(way);
    pause(EARLY_DRAIN_MILLIS);
    rig.drain(0, 1);
    pause(LATE_DRAIN_MILLIS - EARLY_DRAIN_MILLIS);
    rig.drain(2, 3);
    pause(OUTAGE_MILLIS - LATE_DRAIN_MILLIS);
    rig.endOutage();
    pause(AFTER_MILLIS);
    rig.stopClients();
    return rig.judge();
  }

  @Test
  void nothingNewGoesToHostsThatDrainWhileTheJournalIsOutOfReach() {
    List<CompletableFuture<List<String>>> plays = new ArrayList<>();
    for (Outage way : Outage.values()) {
      if (way != Outage.NONE) {
        plays.add(begin(way.name(), rig -> drainsDuringOutage(rig, way)));
      }
    }
    plays.add(begin("MOVED", DiscoveryOutageTest::movedToNowhere));
    verify(plays);
  }

  /** SIGHUP moves the journal, in the middle of its outage, to an address where nobody listens. */
  private static List<String> movedToNowhere(OutageRig rig)
      throws IOException, InterruptedException {
    rig.startGateway();
    rig.startClients();
    pause(WARM_UP_MILLIS);
    rig.beginOutage(Outage.SILENT);
    rig.drain(0, 1);
    pause(EARLY_DRAIN_MILLIS);
    rig.moveJournalToNowhere();
    pause(LATE_DRAIN_MILLIS);
    rig.drain(2, 3);
    pause(OUTAGE_MILLIS - LATE_DRAIN_MILLIS);
    rig.stopClients();
    return rig.judge();
  }

  /** Its configuration's list is as old as the outage; nobody confirms it. */
  private static List<String> startedDuringOutage(OutageRig rig)
      throws IOException, InterruptedException {
    rig.beginOutage(Outage.REFUSED);
    rig.drain(0, 1, 2, 3);
    pause(TimeUnit.SECONDS.toMillis(OutageRig.TOLD_AFTER_SECONDS) + 1_100);
    rig.startGateway();
    rig.startClients();
    pause(WARM_UP_MILLIS);
    rig.stopClients();
    return rig.judge();
  }

  /** A host that left and came back as a new process is served again, and drains once more. */
  private static List<String> goneAndBack(OutageRig rig) throws IOException, InterruptedException {
    rig.startGateway();
    rig.startClients();
    pause(WARM_UP_MILLIS);
    rig.beginOutage(Outage.REFUSED);
    rig.drain(0, 1);
    pause(LATE_DRAIN_MILLIS);
    rig.restart(0);
    rig.restart(1);
    pause(2 * AFTER_MILLIS);
    rig.drain(0, 1);
    pause(2 * AFTER_MILLIS);
    rig.stopClients();
    return rig.judge();
  }

  private static List<String> twoOutagesInARow(OutageRig rig)
      throws IOException, InterruptedException {
    rig.startGateway();
    rig.startClients();
    pause(WARM_UP_MILLIS);
    List<String> found = new ArrayList<>();
    for (int outage = 0; outage < 2; outage++) {
      rig.beginOutage(outage == 0 ? Outage.RESET : Outage.SILENT);
      rig.drain(2 * outage, 2 * outage + 1);
      pause(OUTAGE_MILLIS);
      rig.endOutage();
      pause(AFTER_MILLIS);
      found.addAll(rig.judge());
    }
    rig.stopClients();
    return found;
  }

  @Test
  void nothingNewGoesToDrainedHostsAcrossStartsReturnsAndRepeatedOutages() {
    verify(
        List.of(
            begin("STARTED", DiscoveryOutageTest::startedDuringOutage),
            begin("BACK", DiscoveryOutageTest::goneAndBack),
            begin("TWICE", DiscoveryOutageTest::twoOutagesInARow)));
  }
}
