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
 * Guards against new work for draining hosts while the journal is unreachable. The hosts stay up
 * and refuse new work, and the outage is longer than the time after which the gateway counts as
 * notified: at the latest 4 s after the outage began. New work that is sent later than the grace
 * period after that violates the drain rule. Each scenario has its own gateway process, hosts,
 * clients and journal; the scenarios of a test run concurrently.
 */
@Timeout(120)
class DiscoveryOutageTest {

  private static final int WARM_UP_MILLIS = 2_500;
  private static final int EARLY_DRAIN_MILLIS = 500;
  private static final int LATE_DRAIN_MILLIS = 5_500;
  private static final int OUTAGE_MILLIS = 9_000;
  private static final int RECOVERY_MILLIS = 1_500;

  @TempDir private Path folder;

  /** One scenario; returns the violations that it has found. */
  private interface Scenario {
    List<String> run(OutageRig rig) throws IOException, InterruptedException;
  }

  private CompletableFuture<List<String>> begin(String name, Scenario scenario) {
    CompletableFuture<List<String>> done = new CompletableFuture<>();
    Thread thread =
        new Thread(
            () -> {
              try {
                Path own = Files.createDirectory(folder.resolve(name));
                try (OutageRig rig = new OutageRig(own)) {
                  List<String> violations = new ArrayList<>();
                  scenario.run(rig).forEach(fault -> violations.add(name + ": " + fault));
                  done.complete(violations);
                }
              } catch (Exception | AssertionError e) {
                done.completeExceptionally(e);
              }
            });
    thread.start();
    return done;
  }

  private static void verify(List<CompletableFuture<List<String>>> runs) {
    List<String> violations = new ArrayList<>();
    runs.forEach(run -> violations.addAll(run.join()));
    assertEquals(List.of(), violations, () -> String.join("\n", violations));
  }

  private static void pause(long millis) {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  /** Two hosts drain right after the outage begins, and two more late in the outage. */
  private static List<String> drainsDuringOutage(OutageRig rig, Outage outage)
      throws IOException, InterruptedException {
    rig.startGateway();
    rig.startClients();
    pause(WARM_UP_MILLIS);
    rig.beginOutage(outage);
    pause(EARLY_DRAIN_MILLIS);
    rig.drain(0, 1);
    pause(LATE_DRAIN_MILLIS - EARLY_DRAIN_MILLIS);
    rig.drain(2, 3);
    pause(OUTAGE_MILLIS - LATE_DRAIN_MILLIS);
    rig.endOutage();
    pause(RECOVERY_MILLIS);
    rig.stopClients();
    return rig.findViolations();
  }

  @Test
  void noNewWorkIsSentToHostsThatDrainDuringAJournalOutage() {
    List<CompletableFuture<List<String>>> runs = new ArrayList<>();
    for (Outage outage : Outage.values()) {
      if (outage != Outage.NONE) {
        runs.add(begin(outage.name(), rig -> drainsDuringOutage(rig, outage)));
      }
    }
    runs.add(begin("MOVED", DiscoveryOutageTest::journalMovedToClosedPort));
    verify(runs);
  }

  /** During the outage, SIGHUP changes the journal's address to one where nothing listens. */
  private static List<String> journalMovedToClosedPort(OutageRig rig)
      throws IOException, InterruptedException {
    rig.startGateway();
    rig.startClients();
    pause(WARM_UP_MILLIS);
    rig.beginOutage(Outage.SILENT);
    rig.drain(0, 1);
    pause(EARLY_DRAIN_MILLIS);
    rig.moveJournalToClosedPort();
    pause(LATE_DRAIN_MILLIS);
    rig.drain(2, 3);
    pause(OUTAGE_MILLIS - LATE_DRAIN_MILLIS);
    rig.stopClients();
    return rig.findViolations();
  }

  /**
   * The gateway starts during the outage. The host list in its configuration is as old as the
   * outage and is never confirmed.
   */
  private static List<String> startedDuringOutage(OutageRig rig)
      throws IOException, InterruptedException {
    rig.beginOutage(Outage.REFUSED);
    rig.drain(0, 1, 2, 3);
    pause(TimeUnit.SECONDS.toMillis(OutageRig.NOTIFIED_AFTER_SECONDS) + 1_100);
    rig.startGateway();
    rig.startClients();
    pause(WARM_UP_MILLIS);
    rig.stopClients();
    return rig.findViolations();
  }

  /**
   * A host that left and returned as a new process is sent new work again, and then drains once
   * more.
   */
  private static List<String> hostsRestartDuringOutage(OutageRig rig)
      throws IOException, InterruptedException {
    rig.startGateway();
    rig.startClients();
    pause(WARM_UP_MILLIS);
    rig.beginOutage(Outage.REFUSED);
    rig.drain(0, 1);
    pause(LATE_DRAIN_MILLIS);
    rig.restart(0);
    rig.restart(1);
    pause(2 * RECOVERY_MILLIS);
    rig.drain(0, 1);
    pause(2 * RECOVERY_MILLIS);
    rig.stopClients();
    return rig.findViolations();
  }

  private static List<String> twoOutagesInARow(OutageRig rig)
      throws IOException, InterruptedException {
    rig.startGateway();
    rig.startClients();
    pause(WARM_UP_MILLIS);
    List<String> violations = new ArrayList<>();
    for (int outage = 0; outage < 2; outage++) {
      rig.beginOutage(outage == 0 ? Outage.RESET : Outage.SILENT);
      rig.drain(2 * outage, 2 * outage + 1);
      pause(OUTAGE_MILLIS);
      rig.endOutage();
      pause(RECOVERY_MILLIS);
      violations.addAll(rig.findViolations());
    }
    rig.stopClients();
    return violations;
  }

  @Test
  void noNewWorkIsSentToDrainedHostsAcrossStartsRestartsAndRepeatedOutages() {
    verify(
        List.of(
            begin("STARTED", DiscoveryOutageTest::startedDuringOutage),
            begin("BACK", DiscoveryOutageTest::hostsRestartDuringOutage),
            begin("TWICE", DiscoveryOutageTest::twoOutagesInARow)));
  }
}
