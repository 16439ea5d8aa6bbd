package flintlead.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A peer's observation is used only where this gateway has observed nothing itself. */
class ObservationExchangeTest {

  private static final Span RECENT = Span.ofMillis(500);
  private static final long FUNCTION = 42;

  private final ScriptedFleet fleet =
      new ScriptedFleet(ScriptedFleet.deployment(true, false, 2), 5);

  /** The host of a first invocation of the function, by the hash walk alone. */
  private static long homeHost() {
    return new ScriptedFleet(ScriptedFleet.deployment(true, false, 2), 5)
        .submit(ScriptedFleet.IDEMPOTENT, FUNCTION, 3_000)
        .attempts
        .get(0)
        .host;
  }

  private long otherHost() {
    return homeHost() == 100 ? 101 : 100;
  }

  private long submitAndGetHost() {
    return fleet.submit(ScriptedFleet.IDEMPOTENT, FUNCTION, 3_000).attempts.get(0).host;
  }

  /**
   * A more recent peer observation takes precedence over an older one whatever the order in which
   * they arrive; neither takes precedence over an own observation.
   */
  @Test
  void moreRecentPeerObservationTakesPrecedence() {
    fleet.scheduler.mergeObservation(otherHost(), FUNCTION, 1, Span.ofMillis(7_900));
    fleet.scheduler.mergeObservation(otherHost(), FUNCTION, 1, RECENT);
    fleet.scheduler.mergeObservation(otherHost(), FUNCTION, 1, Span.ofMillis(7_800));
    fleet.advance(1_000);
    assertEquals(otherHost(), submitAndGetHost(), "the older two observations have expired");
  }

  @Test
  void peerObservationIsUsed() {
    fleet.scheduler.mergeObservation(otherHost(), FUNCTION, 1, RECENT);
    assertEquals(otherHost(), submitAndGetHost());
  }

  @Test
  void observationOlderThanTheKeepAliveIsIgnored() {
    fleet.scheduler.mergeObservation(
        otherHost(), FUNCTION, 1, fleet.deployment.instanceKeepAlive());
    assertEquals(homeHost(), submitAndGetHost());
  }

  /** An instance that was observed before its host restarted is no longer loaded. */
  @Test
  void observationFromBeforeTheHostStartedIsIgnored() {
    long otherHost = otherHost();
    // Successful answers raise the slow-start budget, so that it does not prevent the attempt
    // below.
    for (int i = 0; i < 2_000; i++) {
      fleet.submit(ScriptedFleet.IDEMPOTENT, 1_000 + i % 7, 3_000);
      fleet.endAttempt(fleet.inFlight.get(0), Outcome.OK, 1);
      fleet.advance(2);
    }
    fleet.updateHost(
        fleet.entry(otherHost, HostEntry.State.READY, fleet.now().micros() - 5_000_000));
    fleet.scheduler.mergeObservation(otherHost, FUNCTION, 1, Span.ofMillis(5_500));
    fleet.scheduler.mergeObservation(otherHost, FUNCTION + 1, 1, Span.ofMillis(4_500));
    boolean used = false;
    for (int i = 0; i < 10 && !used; i++) {
      used =
          fleet.submit(ScriptedFleet.IDEMPOTENT, FUNCTION + 1, 3_000).attempts.get(0).host
              == otherHost;
      fleet.endAttempt(fleet.inFlight.get(0), Outcome.OK, 1);
      fleet.advance(100);
    }
    assertTrue(used, "an observation since the start is used, and the slow-start budget allows it");
    assertEquals(homeHost(), submitAndGetHost());
  }

  private List<Long> exportedHosts() {
    List<Long> seen = new ArrayList<>();
    fleet.scheduler.exportObservations((host, function, instances, age) -> seen.add(host));
    return seen;
  }

  @Test
  void observationOfADrainingHostIsIgnored() {
    long otherHost = otherHost();
    fleet.updateHost(fleet.entry(otherHost, HostEntry.State.DRAINING, 0));
    fleet.scheduler.mergeObservation(otherHost, FUNCTION, 1, RECENT);
    assertNotEquals(otherHost, submitAndGetHost());
    // An observation that arrived while the host was draining is not used either once it is ready
    // again.
    ScriptedFleet.SentAttempt attempt = fleet.inFlight.get(0);
    fleet.endAttempt(attempt, Outcome.MISS);
    fleet.updateHost(fleet.entry(otherHost, HostEntry.State.READY, 0));
    assertNotEquals(
        otherHost, fleet.submit(ScriptedFleet.IDEMPOTENT, FUNCTION, 3_000).attempts.get(0).host);
  }

  @Test
  void ownObservationTakesPrecedence() {
    long homeHost = submitAndGetHost();
    fleet.endAttempt(fleet.inFlight.get(0), Outcome.OK, 1);
    assertEquals(List.of(homeHost), exportedHosts());
    fleet.advance(1_000);
    fleet.scheduler.mergeObservation(homeHost, FUNCTION, 7, Span.ZERO);
    List<Integer> instances = new ArrayList<>();
    fleet.scheduler.exportObservations((host, function, count, age) -> instances.add(count));
    assertEquals(List.of(1), instances, "the own observation of one instance remains");
  }

  @Test
  void peerObservationIsNotExportedUntilObservedHere() {
    fleet.scheduler.mergeObservation(otherHost(), FUNCTION, 1, RECENT);
    assertEquals(List.of(), exportedHosts());
    submitAndGetHost();
    fleet.endAttempt(fleet.inFlight.get(0), Outcome.OK, 1);
    assertEquals(List.of(otherHost()), exportedHosts());
  }
}
