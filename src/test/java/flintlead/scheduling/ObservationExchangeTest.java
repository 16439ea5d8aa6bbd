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

  private static final Span LATELY = Span.ofMillis(500);
  private static final long FN = 42;

  private final ScriptedFleet fleet = new ScriptedFleet(ScriptedFleet.facts(true, false, 2), 5);

  /** The host of a first invocation of the function, by the hash walk alone. */
  private static long home() {
    return new ScriptedFleet(ScriptedFleet.facts(true, false, 2), 5)
        .take(ScriptedFleet.IDEMPOTENT, FN, 3_000)
        .outs
        .get(0)
        .host;
  }

  private long away() {
    return home() == 100 ? 101 : 100;
  }

  private long goesTo() {
    return fleet.take(ScriptedFleet.IDEMPOTENT, FN, 3_000).outs.get(0).host;
  }

  /**
   * A more recent peer observation takes precedence over an older one whatever the order in which
   * they arrive; neither takes precedence over an own observation.
   */
  @Test
  void ofTwoThatWereToldTheYoungerCounts() {
    fleet.scheduler.mergeObservation(away(), FN, 1, Span.ofMillis(7_900));
    fleet.scheduler.mergeObservation(away(), FN, 1, LATELY);
    fleet.scheduler.mergeObservation(away(), FN, 1, Span.ofMillis(7_800));
    fleet.pass(1_000);
    assertEquals(away(), goesTo(), "the older two observations have expired");
  }

  @Test
  void aSightOfAnotherIsFollowed() {
    fleet.scheduler.mergeObservation(away(), FN, 1, LATELY);
    assertEquals(away(), goesTo());
  }

  @Test
  void aSightOlderThanTheKeepAliveIsNot() {
    fleet.scheduler.mergeObservation(away(), FN, 1, fleet.facts.instanceKeepAlive());
    assertEquals(home(), goesTo());
  }

  /** An instance that was observed before its host restarted is no longer loaded. */
  @Test
  void aSightFromBeforeTheHostsStartIsNot() {
    long away = away();
    // Successful answers raise the slow-start budget, so that it does not prevent the attempt
    // below.
    for (int i = 0; i < 2_000; i++) {
      fleet.take(ScriptedFleet.IDEMPOTENT, 1_000 + i % 7, 3_000);
      fleet.end(fleet.out.get(0), Outcome.OK, 1);
      fleet.pass(2);
    }
    fleet.list(fleet.entry(away, HostEntry.State.READY, fleet.now().micros() - 5_000_000));
    fleet.scheduler.mergeObservation(away, FN, 1, Span.ofMillis(5_500));
    fleet.scheduler.mergeObservation(away, FN + 1, 1, Span.ofMillis(4_500));
    boolean followed = false;
    for (int i = 0; i < 10 && !followed; i++) {
      followed = fleet.take(ScriptedFleet.IDEMPOTENT, FN + 1, 3_000).outs.get(0).host == away;
      fleet.end(fleet.out.get(0), Outcome.OK, 1);
      fleet.pass(100);
    }
    assertTrue(
        followed, "an observation since the start is used, and the slow-start budget allows it");
    assertEquals(home(), goesTo());
  }

  private List<Long> taught() {
    List<Long> seen = new ArrayList<>();
    fleet.scheduler.exportObservations((host, fn, copies, age) -> seen.add(host));
    return seen;
  }

  @Test
  void aHostThatDrainsTakesNothingByHearsay() {
    long away = away();
    fleet.list(fleet.entry(away, HostEntry.State.DRAINING, 0));
    fleet.scheduler.mergeObservation(away, FN, 1, LATELY);
    assertNotEquals(away, goesTo());
    // An observation that arrived while the host was draining is not used either once it is ready
    // again.
    ScriptedFleet.Out out = fleet.out.get(0);
    fleet.end(out, Outcome.MISS);
    fleet.list(fleet.entry(away, HostEntry.State.READY, 0));
    assertNotEquals(away, fleet.take(ScriptedFleet.IDEMPOTENT, FN, 3_000).outs.get(0).host);
  }

  @Test
  void whatWasSeenHereGoesBefore() {
    long home = goesTo();
    fleet.end(fleet.out.get(0), Outcome.OK, 1);
    assertEquals(List.of(home), taught());
    fleet.pass(1_000);
    fleet.scheduler.mergeObservation(home, FN, 7, Span.ZERO);
    List<Integer> copies = new ArrayList<>();
    fleet.scheduler.exportObservations((host, fn, many, age) -> copies.add(many));
    assertEquals(List.of(1), copies, "the own observation of one instance remains");
  }

  @Test
  void hearsayIsNotTaughtOnUntilItIsSeen() {
    fleet.scheduler.mergeObservation(away(), FN, 1, LATELY);
    assertEquals(List.of(), taught());
    goesTo();
    fleet.end(fleet.out.get(0), Outcome.OK, 1);
    assertEquals(List.of(away()), taught());
  }
}
