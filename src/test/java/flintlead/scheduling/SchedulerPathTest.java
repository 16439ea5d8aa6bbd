package flintlead.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.api.Outcome;
import java.util.List;
import net.jqwik.api.Example;

/** The main paths of the scheduler, and one simple case for each failure found. */
class SchedulerPathTest {

  private final ScriptedFleet fleet = new ScriptedFleet(ScriptedFleet.facts(true, true, 1), 5);

  private ScriptedFleet.Taken served(ScriptedFleet fleet, int type, long fn) {
    ScriptedFleet.Taken taken = fleet.take(type, fn, 2000);
    fleet.pass(100);
    fleet.end(taken.outs.get(0), Outcome.OK);
    return taken;
  }

  private void drainAll() {
    List.copyOf(fleet.listed.keySet())
        .forEach(host -> fleet.list(fleet.entry(host, HostEntry.State.DRAINING, 0)));
  }

  @Example
  void sticksToTheWarmHost() {
    long home = served(fleet, 0, 42).outs.get(0).host;
    assertEquals(home, served(fleet, 0, 42).outs.get(0).host);
    assertEquals(home, served(fleet, 1, 42).outs.get(0).host);
  }

  @Example
  void twoGatewaysWalkAlike() {
    ScriptedFleet other = new ScriptedFleet(ScriptedFleet.facts(true, true, 1), 5);
    for (long fn = 1; fn < 20; fn++) {
      assertEquals(served(fleet, 0, fn).outs.get(0).host, served(other, 0, fn).outs.get(0).host);
    }
  }

  @Example
  void spreadsWhenAFunctionTurnsHot() {
    served(fleet, 0, 42);
    for (int i = 0; i < 40; i++) {
      fleet.take(0, 42, 2000);
    }
    assertTrue(fleet.out.stream().map(out -> out.host).distinct().count() > 1);
  }

  @Example
  void aMarkLapsesAndTheWalkDecidesAgain() {
    ScriptedFleet.Taken first = fleet.take(0, 42, 2000);
    fleet.end(first.outs.get(0), Outcome.FULL);
    fleet.end(first.outs.get(1), Outcome.OK);
    fleet.pass(9000);
    assertEquals(first.outs.get(0).host, served(fleet, 0, 42).outs.get(0).host);
  }

  @Example
  void noLoadWhereAFullAnswerCameWithinASecond() {
    ScriptedFleet.Taken first = fleet.take(0, 42, 2000);
    fleet.end(first.outs.get(0), Outcome.FULL);
    assertNotEquals(first.outs.get(0).host, first.outs.get(1).host);
    assertNotEquals(first.outs.get(0).host, fleet.take(0, 42, 2000).outs.get(0).host);
  }

  @Example
  void joinsAnOwnLoadOrWaitsForIt() {
    ScriptedFleet.Taken first = fleet.take(0, 42, 2000);
    fleet.pass(500);
    ScriptedFleet.Taken second = fleet.take(0, 42, 2000);
    assertTrue(second.outs.isEmpty());
    fleet.pass(100);
    fleet.end(first.outs.get(0), Outcome.OK, 2);
    assertEquals(first.outs.get(0).host, second.outs.get(0).host);
  }

  @Example
  void ordersAfterAMissAndResendsOnOk() {
    ScriptedFleet miss = new ScriptedFleet(ScriptedFleet.facts(false, true, 1), 5);
    ScriptedFleet.Taken taken = miss.take(0, 42, 2000);
    miss.end(taken.outs.get(0), Outcome.MISS);
    assertEquals(1, miss.orders.size());
    miss.pass(600);
    miss.answerOrder(Outcome.OK);
    assertEquals(taken.outs.get(0).host, taken.outs.get(1).host);
  }

  @Example
  void walksOnWhenTheOrderFails() {
    ScriptedFleet miss = new ScriptedFleet(ScriptedFleet.facts(false, true, 1), 5);
    ScriptedFleet.Taken taken = miss.take(1, 42, 2000);
    miss.end(taken.outs.get(0), Outcome.MISS);
    miss.answerOrder(Outcome.FULL);
    assertNotEquals(taken.outs.get(0).host, taken.outs.get(1).host);
  }

  @Example
  void furtherDispatchesGoByBilledValue() {
    ScriptedFleet.Taken cheap = fleet.take(0, 42, 2000);
    fleet.end(cheap.outs.get(0), Outcome.ERROR);
    fleet.end(cheap.outs.get(1), Outcome.ERROR);
    assertEquals("throttled", cheap.answer);
    ScriptedFleet.Taken dear = fleet.take(1, 43, 2000);
    fleet.end(dear.outs.get(0), Outcome.ERROR);
    fleet.end(dear.outs.get(1), Outcome.ERROR);
    assertEquals(3, dear.outs.size());
  }

  @Example
  void aNonIdempotentThatMayHaveRunIsErroredAtOnce() {
    ScriptedFleet.Taken taken = fleet.take(3, 42, 2000);
    fleet.end(taken.outs.get(0), Outcome.RESET);
    assertEquals("errored", taken.answer);
  }

  /**
   * Regression: the slow-start budget followed the rate of attempts, which multiply while
   * everything fails and is retried.
   */
  @Example
  void failuresDoNotWidenTheColdBudget() {
    fleet.list(fleet.entry(102, HostEntry.State.READY, fleet.now().micros()));
    for (int i = 0; i < 200; i++) {
      ScriptedFleet.Taken taken = fleet.take(0, i, 2000);
      while (taken.answer == null
          && !taken.outs.isEmpty()
          && taken.outs.get(taken.outs.size() - 1).outcome == null) {
        fleet.end(taken.outs.get(taken.outs.size() - 1), Outcome.ERROR, 4);
      }
      fleet.pass(4);
    }
    assertTrue(
        fleet.invs.values().stream()
                .flatMap(taken -> taken.outs.stream())
                .filter(out -> out.host == 102)
                .count()
            <= 1);
  }

  /**
   * Regression: 200 gateways each sent a starting host one attempt at the same time, which
   * overloaded it.
   */
  @Example
  void partsUnderOneDispatchAddUpOverManyGateways() {
    long sent = 0;
    for (int gateway = 0; gateway < 200; gateway++) {
      ScriptedFleet one = new ScriptedFleet(ScriptedFleet.facts(true, true, 200), 5);
      for (int i = 0; i < 20; i++) {
        one.end(one.take(0, i, 2000).outs.get(0), Outcome.OK);
        one.pass(500);
      }
      one.list(one.entry(102, HostEntry.State.READY, one.now().micros()));
      for (int i = 0; i < 20; i++) {
        one.take(0, i, 2000);
      }
      sent +=
          one.invs.values().stream()
              .flatMap(inv -> inv.outs.stream())
              .filter(out -> out.outcome == null && out.host == 102)
              .count();
    }
    assertTrue(sent < 40, "attempts sent at the same time: " + sent);
  }

  /**
   * Regression: while many invocations failed, the slow-start budget shrank with the rate of
   * answers, and starting hosts stayed idle during a deployment.
   */
  @Example
  void aLullDoesNotNarrowTheColdBudget() {
    for (int i = 0; i < 300; i++) {
      fleet.end(fleet.take(0, i % 20, 2000).outs.get(0), Outcome.OK);
      fleet.pass(10);
    }
    fleet.pass(30_000);
    fleet.list(fleet.entry(102, HostEntry.State.READY, fleet.now().micros()));
    for (int i = 0; i < 40; i++) {
      fleet.end(fleet.take(0, i, 2000).outs.get(0), Outcome.OK);
      fleet.pass(100);
    }
    assertTrue(
        fleet.invs.values().stream().skip(300).filter(inv -> inv.outs.get(0).host == 102).count()
            > 1);
  }

  /**
   * Regression: each of many gateways sent a frequently invoked function to its home, which all of
   * them together overloaded.
   */
  @Example
  void aToldCrowdSpreadsAFunctionWithFewOwnInFlight() {
    ScriptedFleet told = new ScriptedFleet(ScriptedFleet.facts(true, true, 200), 5);
    for (int i = 0; i < 40; i++) {
      ScriptedFleet.Taken taken = told.take(0, 42, 2000);
      told.pass(300);
      told.end(taken.outs.get(0), Outcome.OK, 1 + 8 * 12);
    }
    assertTrue(
        told.invs.values().stream().map(inv -> inv.outs.get(0).host).distinct().count() >= 4);
  }

  /**
   * One gateway alone sees little of a function's concurrency, so gateways gossip what they learn
   * of it. An unknown message is ignored.
   */
  @Example
  void aSpreadIsToldAndHeard() {
    ScriptedFleet first = new ScriptedFleet(ScriptedFleet.facts(true, true, 200), 5);
    ScriptedFleet second = new ScriptedFleet(ScriptedFleet.facts(true, true, 200), 5);
    for (int i = 0; i < 4; i++) {
      first.end(first.take(0, 42, 2000).outs.get(0), Outcome.OK, 1 + 8 * 20);
    }
    first.pass(1000);
    second.scheduler.gossipReceived(7, new byte[] {9, 1, 2});
    second.scheduler.gossipReceived(7, first.told.get(0));
    for (int i = 0; i < 20; i++) {
      second.end(second.take(0, 42, 2000).outs.get(0), Outcome.OK, 1 + 8 * 2);
    }
    assertTrue(
        second.invs.values().stream().map(inv -> inv.outs.get(0).host).distinct().count() >= 3);
  }

  /** A restarted host has no function loaded, so the hash walk decides again. */
  @Example
  void aRestartVoidsTheMarks() {
    ScriptedFleet.Taken first = fleet.take(0, 42, 2000);
    fleet.end(first.outs.get(0), Outcome.FULL);
    fleet.end(first.outs.get(1), Outcome.OK);
    fleet.pass(1100);
    fleet.list(fleet.entry(first.outs.get(1).host, HostEntry.State.READY, fleet.now().micros()));
    assertEquals(first.outs.get(0).host, fleet.take(0, 42, 2000).outs.get(0).host);
  }

  /**
   * Rule 5: the rate limit counts every load order in its window; beyond it, the invocation goes to
   * the next host of the walk instead.
   */
  @Example
  void noOrderPastTheRation() {
    ScriptedFleet miss = new ScriptedFleet(ScriptedFleet.facts(false, true, 1), 5);
    ScriptedFleet.Taken first = miss.take(1, 42, 2000);
    ScriptedFleet.Taken second = miss.take(1, 43, 2000);
    miss.end(first.outs.get(0), Outcome.MISS);
    miss.end(second.outs.get(0), Outcome.MISS);
    assertEquals(1, miss.orders.size());
    assertEquals(2, second.outs.size());
  }

  /**
   * Regression: a load sent to a lost host counted as in flight until the client's timeout and
   * blocked all other loads.
   */
  @Example
  void loadsOnASilentHostDoNotHoldUpOthers() {
    for (int i = 0; i < 16; i++) {
      ScriptedFleet.Taken taken = fleet.take(0, i, 6000);
      if (taken.outs.get(0).host != 101) {
        fleet.end(taken.outs.get(0), Outcome.OK);
      }
    }
    for (int i = 16; i < 40; i++) {
      fleet.pass(100);
      ScriptedFleet.Taken taken = fleet.take(0, i, 6000);
      if (!taken.outs.isEmpty() && taken.outs.get(0).host != 101) {
        fleet.end(taken.outs.get(0), Outcome.FULL);
        fleet.out.stream()
            .filter(out -> out.host != 101)
            .toList()
            .forEach(out -> fleet.end(out, Outcome.OK));
      }
    }
    fleet.pass(2000);
    assertEquals(1, fleet.take(0, 999, 6000).outs.size());
  }

  /**
   * A silent host is ejected, and its invocations are also sent elsewhere where rule 2 allows it.
   */
  @Example
  void aSilentHostLosesItsInvocations() {
    long home = served(fleet, 0, 42).outs.get(0).host;
    ScriptedFleet.Taken stuck = fleet.take(0, 42, 2900);
    fleet.pass(1500);
    assertEquals(2, stuck.outs.size());
    assertNotEquals(home, stuck.outs.get(1).host);
  }

  /**
   * Regression: without hedging, a slow host that the gateway rarely got answers from was taken for
   * silent, and its invocations were cancelled and failed.
   */
  @Example
  void oneSlowAnswerIsNotSilenceWhereItWouldBeCalledBack() {
    ScriptedFleet alone = new ScriptedFleet(ScriptedFleet.facts(true, false, 2), 5);
    ScriptedFleet.Taken slow = alone.take(2, 42, 2900);
    alone.pass(1500);
    assertEquals(null, slow.outs.get(0).outcome);
    assertEquals(1, slow.outs.size());
    alone.end(slow.outs.get(0), Outcome.OK);
    assertEquals("succeeded", slow.answer);
  }

  /**
   * Regression: with a fixed limit of 900 ms every host counted as silent where invocations run for
   * a second and more. Half of all attempts were cancelled, and their invocations failed or were
   * run again.
   */
  @Example
  void whatWorksForLongIsNotSilence() {
    ScriptedFleet slow = new ScriptedFleet(ScriptedFleet.facts(true, false, 8, 7000), 3);
    for (long fn = 1; fn <= 9; fn++) {
      slow.take((int) fn % 3, fn, 27_000);
    }
    slow.pass(5000);
    assertEquals(9, slow.out.size());
    assertTrue(slow.out.stream().allMatch(out -> out.outcome == null), "an attempt was cancelled");
    slow.pass(25_000);
    assertTrue(slow.invs.values().stream().allMatch(taken -> taken.answer != null));
  }

  /**
   * Queued invocations that can no longer be answered in time are throttled at once, not just
   * before their client's timeout.
   */
  @Example
  void aHopelessInvocationIsAnsweredAtOnce() {
    drainAll();
    ScriptedFleet.Taken taken = fleet.take(1, 42, 3000);
    fleet.pass(1020);
    assertEquals("throttled", taken.answer);
  }

  /**
   * Regression: an invocation with little time left was queued as long as any other, until its
   * answer was of no use to its client.
   */
  @Example
  void littleTimeLeftIsHeldForLess() {
    drainAll();
    ScriptedFleet.Taken taken = fleet.take(1, 42, 400);
    fleet.pass(180);
    assertEquals("throttled", taken.answer);
  }
}
