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

  private final ScriptedFleet fleet = new ScriptedFleet(ScriptedFleet.deployment(true, true, 1), 5);

  private ScriptedFleet.ClientInvocation submitAndServe(
      ScriptedFleet fleet, int type, long function) {
    ScriptedFleet.ClientInvocation invocation = fleet.submit(type, function, 2000);
    fleet.advance(100);
    fleet.endAttempt(invocation.attempts.get(0), Outcome.OK);
    return invocation;
  }

  private void drainAllHosts() {
    List.copyOf(fleet.listed.keySet())
        .forEach(host -> fleet.updateHost(fleet.entry(host, HostEntry.State.DRAINING, 0)));
  }

  @Example
  void reusesTheWarmHost() {
    long home = submitAndServe(fleet, 0, 42).attempts.get(0).host;
    assertEquals(home, submitAndServe(fleet, 0, 42).attempts.get(0).host);
    assertEquals(home, submitAndServe(fleet, 1, 42).attempts.get(0).host);
  }

  @Example
  void gatewaysFollowTheSameHashWalk() {
    ScriptedFleet other = new ScriptedFleet(ScriptedFleet.deployment(true, true, 1), 5);
    for (long function = 1; function < 20; function++) {
      assertEquals(
          submitAndServe(fleet, 0, function).attempts.get(0).host,
          submitAndServe(other, 0, function).attempts.get(0).host);
    }
  }

  @Example
  void spreadsAFunctionWithManyInvocations() {
    submitAndServe(fleet, 0, 42);
    for (int i = 0; i < 40; i++) {
      fleet.submit(0, 42, 2000);
    }
    assertTrue(fleet.inFlight.stream().map(attempt -> attempt.host).distinct().count() > 1);
  }

  @Example
  void hashWalkDecidesAgainOnceAnEstimateExpires() {
    ScriptedFleet.ClientInvocation first = fleet.submit(0, 42, 2000);
    fleet.endAttempt(first.attempts.get(0), Outcome.FULL);
    fleet.endAttempt(first.attempts.get(1), Outcome.OK);
    fleet.advance(9000);
    assertEquals(first.attempts.get(0).host, submitAndServe(fleet, 0, 42).attempts.get(0).host);
  }

  @Example
  void noLoadWithinASecondOfAFullAnswer() {
    ScriptedFleet.ClientInvocation first = fleet.submit(0, 42, 2000);
    fleet.endAttempt(first.attempts.get(0), Outcome.FULL);
    assertNotEquals(first.attempts.get(0).host, first.attempts.get(1).host);
    assertNotEquals(first.attempts.get(0).host, fleet.submit(0, 42, 2000).attempts.get(0).host);
  }

  @Example
  void waitsForAnOwnLoadInFlight() {
    ScriptedFleet.ClientInvocation first = fleet.submit(0, 42, 2000);
    fleet.advance(500);
    ScriptedFleet.ClientInvocation second = fleet.submit(0, 42, 2000);
    assertTrue(second.attempts.isEmpty());
    fleet.advance(100);
    fleet.endAttempt(first.attempts.get(0), Outcome.OK, 2);
    assertEquals(first.attempts.get(0).host, second.attempts.get(0).host);
  }

  @Example
  void ordersALoadAfterAMissAndResendsOnceLoaded() {
    ScriptedFleet miss = new ScriptedFleet(ScriptedFleet.deployment(false, true, 1), 5);
    ScriptedFleet.ClientInvocation invocation = miss.submit(0, 42, 2000);
    miss.endAttempt(invocation.attempts.get(0), Outcome.MISS);
    assertEquals(1, miss.loadOrders.size());
    miss.advance(600);
    miss.completeLoadOrder(Outcome.OK);
    assertEquals(invocation.attempts.get(0).host, invocation.attempts.get(1).host);
  }

  @Example
  void triesAnotherHostWhenTheLoadOrderFails() {
    ScriptedFleet miss = new ScriptedFleet(ScriptedFleet.deployment(false, true, 1), 5);
    ScriptedFleet.ClientInvocation invocation = miss.submit(1, 42, 2000);
    miss.endAttempt(invocation.attempts.get(0), Outcome.MISS);
    miss.completeLoadOrder(Outcome.FULL);
    assertNotEquals(invocation.attempts.get(0).host, invocation.attempts.get(1).host);
  }

  @Example
  void retriesDependOnBilledValue() {
    ScriptedFleet.ClientInvocation cheap = fleet.submit(0, 42, 2000);
    fleet.endAttempt(cheap.attempts.get(0), Outcome.ERROR);
    fleet.endAttempt(cheap.attempts.get(1), Outcome.ERROR);
    assertEquals("throttled", cheap.answer);
    ScriptedFleet.ClientInvocation valuable = fleet.submit(1, 43, 2000);
    fleet.endAttempt(valuable.attempts.get(0), Outcome.ERROR);
    fleet.endAttempt(valuable.attempts.get(1), Outcome.ERROR);
    assertEquals(3, valuable.attempts.size());
  }

  @Example
  void nonIdempotentInvocationThatMayHaveRunFailsAtOnce() {
    ScriptedFleet.ClientInvocation invocation = fleet.submit(3, 42, 2000);
    fleet.endAttempt(invocation.attempts.get(0), Outcome.RESET);
    assertEquals("errored", invocation.answer);
  }

  /**
   * Regression: the slow-start budget followed the rate of attempts, which multiply while
   * everything fails and is retried.
   */
  @Example
  void failuresDoNotRaiseTheSlowStartBudget() {
    fleet.updateHost(fleet.entry(102, HostEntry.State.READY, fleet.now().micros()));
    for (int i = 0; i < 200; i++) {
      ScriptedFleet.ClientInvocation invocation = fleet.submit(0, i, 2000);
      while (invocation.answer == null
          && !invocation.attempts.isEmpty()
          && invocation.attempts.get(invocation.attempts.size() - 1).outcome == null) {
        fleet.endAttempt(invocation.attempts.get(invocation.attempts.size() - 1), Outcome.ERROR, 4);
      }
      fleet.advance(4);
    }
    assertTrue(
        fleet.invocations.values().stream()
                .flatMap(invocation -> invocation.attempts.stream())
                .filter(attempt -> attempt.host == 102)
                .count()
            <= 1);
  }

  /**
   * Regression: 200 gateways each sent a starting host one attempt at the same time, which
   * overloaded it.
   */
  @Example
  void slowStartHoldsWhereEachShareIsBelowOneAttempt() {
    long sent = 0;
    for (int gateway = 0; gateway < 200; gateway++) {
      ScriptedFleet one = new ScriptedFleet(ScriptedFleet.deployment(true, true, 200), 5);
      for (int i = 0; i < 20; i++) {
        one.endAttempt(one.submit(0, i, 2000).attempts.get(0), Outcome.OK);
        one.advance(500);
      }
      one.updateHost(one.entry(102, HostEntry.State.READY, one.now().micros()));
      for (int i = 0; i < 20; i++) {
        one.submit(0, i, 2000);
      }
      sent +=
          one.invocations.values().stream()
              .flatMap(invocation -> invocation.attempts.stream())
              .filter(attempt -> attempt.outcome == null && attempt.host == 102)
              .count();
    }
    assertTrue(sent < 40, "attempts sent at the same time: " + sent);
  }

  /**
   * Regression: while many invocations failed, the slow-start budget shrank with the rate of
   * answers, and starting hosts stayed idle during a deployment.
   */
  @Example
  void fewAnswersDoNotLowerTheSlowStartBudget() {
    for (int i = 0; i < 300; i++) {
      fleet.endAttempt(fleet.submit(0, i % 20, 2000).attempts.get(0), Outcome.OK);
      fleet.advance(10);
    }
    fleet.advance(30_000);
    fleet.updateHost(fleet.entry(102, HostEntry.State.READY, fleet.now().micros()));
    for (int i = 0; i < 40; i++) {
      fleet.endAttempt(fleet.submit(0, i, 2000).attempts.get(0), Outcome.OK);
      fleet.advance(100);
    }
    assertTrue(
        fleet.invocations.values().stream()
                .skip(300)
                .filter(invocation -> invocation.attempts.get(0).host == 102)
                .count()
            > 1);
  }

  /**
   * Regression: each of many gateways sent a frequently invoked function to its home, which all of
   * them together overloaded.
   */
  @Example
  void reportedConcurrencySpreadsAFunctionWithFewOwnAttempts() {
    ScriptedFleet oneOfMany = new ScriptedFleet(ScriptedFleet.deployment(true, true, 200), 5);
    for (int i = 0; i < 40; i++) {
      ScriptedFleet.ClientInvocation invocation = oneOfMany.submit(0, 42, 2000);
      oneOfMany.advance(300);
      oneOfMany.endAttempt(invocation.attempts.get(0), Outcome.OK, 1 + 8 * 12);
    }
    assertTrue(
        oneOfMany.invocations.values().stream()
                .map(invocation -> invocation.attempts.get(0).host)
                .distinct()
                .count()
            >= 4);
  }

  /**
   * One gateway alone sees little of a function's concurrency, so gateways gossip what they learn
   * of it. An unknown message is ignored.
   */
  @Example
  void replicaTargetIsGossipedAndApplied() {
    ScriptedFleet first = new ScriptedFleet(ScriptedFleet.deployment(true, true, 200), 5);
    ScriptedFleet second = new ScriptedFleet(ScriptedFleet.deployment(true, true, 200), 5);
    for (int i = 0; i < 4; i++) {
      first.endAttempt(first.submit(0, 42, 2000).attempts.get(0), Outcome.OK, 1 + 8 * 20);
    }
    first.advance(1000);
    second.scheduler.gossipReceived(7, new byte[] {9, 1, 2});
    second.scheduler.gossipReceived(7, first.gossipSent.get(0));
    for (int i = 0; i < 20; i++) {
      second.endAttempt(second.submit(0, 42, 2000).attempts.get(0), Outcome.OK, 1 + 8 * 2);
    }
    assertTrue(
        second.invocations.values().stream()
                .map(invocation -> invocation.attempts.get(0).host)
                .distinct()
                .count()
            >= 3);
  }

  /** A restarted host has no function loaded, so the hash walk decides again. */
  @Example
  void restartVoidsTheEstimates() {
    ScriptedFleet.ClientInvocation first = fleet.submit(0, 42, 2000);
    fleet.endAttempt(first.attempts.get(0), Outcome.FULL);
    fleet.endAttempt(first.attempts.get(1), Outcome.OK);
    fleet.advance(1100);
    fleet.updateHost(
        fleet.entry(first.attempts.get(1).host, HostEntry.State.READY, fleet.now().micros()));
    assertEquals(first.attempts.get(0).host, fleet.submit(0, 42, 2000).attempts.get(0).host);
  }

  /**
   * Rule 5: the rate limit counts every load order in its window; beyond it, the invocation goes to
   * the next host of the walk instead.
   */
  @Example
  void noLoadOrderBeyondTheRateLimit() {
    ScriptedFleet miss = new ScriptedFleet(ScriptedFleet.deployment(false, true, 1), 5);
    ScriptedFleet.ClientInvocation first = miss.submit(1, 42, 2000);
    ScriptedFleet.ClientInvocation second = miss.submit(1, 43, 2000);
    miss.endAttempt(first.attempts.get(0), Outcome.MISS);
    miss.endAttempt(second.attempts.get(0), Outcome.MISS);
    assertEquals(1, miss.loadOrders.size());
    assertEquals(2, second.attempts.size());
  }

  /**
   * Regression: a load sent to a lost host counted as in flight until the client's timeout and
   * blocked all other loads.
   */
  @Example
  void loadsOnASilentHostDoNotBlockOthers() {
    for (int i = 0; i < 16; i++) {
      ScriptedFleet.ClientInvocation invocation = fleet.submit(0, i, 6000);
      if (invocation.attempts.get(0).host != 101) {
        fleet.endAttempt(invocation.attempts.get(0), Outcome.OK);
      }
    }
    for (int i = 16; i < 40; i++) {
      fleet.advance(100);
      ScriptedFleet.ClientInvocation invocation = fleet.submit(0, i, 6000);
      if (!invocation.attempts.isEmpty() && invocation.attempts.get(0).host != 101) {
        fleet.endAttempt(invocation.attempts.get(0), Outcome.FULL);
        fleet.inFlight.stream()
            .filter(attempt -> attempt.host != 101)
            .toList()
            .forEach(attempt -> fleet.endAttempt(attempt, Outcome.OK));
      }
    }
    fleet.advance(2000);
    assertEquals(1, fleet.submit(0, 999, 6000).attempts.size());
  }

  /**
   * A silent host is ejected, and its invocations are also sent elsewhere where rule 2 allows it.
   */
  @Example
  void invocationsOfASilentHostAreHedged() {
    long home = submitAndServe(fleet, 0, 42).attempts.get(0).host;
    ScriptedFleet.ClientInvocation stuck = fleet.submit(0, 42, 2900);
    fleet.advance(1500);
    assertEquals(2, stuck.attempts.size());
    assertNotEquals(home, stuck.attempts.get(1).host);
  }

  /**
   * Regression: without hedging, a slow host that the gateway rarely got answers from was taken for
   * silent, and its invocations were cancelled and failed.
   */
  @Example
  void oneSlowAnswerIsNotSilenceWithoutHedging() {
    ScriptedFleet withoutHedging = new ScriptedFleet(ScriptedFleet.deployment(true, false, 2), 5);
    ScriptedFleet.ClientInvocation slow = withoutHedging.submit(2, 42, 2900);
    withoutHedging.advance(1500);
    assertEquals(null, slow.attempts.get(0).outcome);
    assertEquals(1, slow.attempts.size());
    withoutHedging.endAttempt(slow.attempts.get(0), Outcome.OK);
    assertEquals("succeeded", slow.answer);
  }

  /**
   * Regression: with a fixed limit of 900 ms every host counted as silent where invocations run for
   * a second and more. Half of all attempts were cancelled, and their invocations failed or were
   * run again.
   */
  @Example
  void longRunningInvocationsAreNotSilence() {
    ScriptedFleet slow = new ScriptedFleet(ScriptedFleet.deployment(true, false, 8, 7000), 3);
    for (long function = 1; function <= 9; function++) {
      slow.submit((int) function % 3, function, 27_000);
    }
    slow.advance(5000);
    assertEquals(9, slow.inFlight.size());
    assertTrue(
        slow.inFlight.stream().allMatch(attempt -> attempt.outcome == null),
        "an attempt was cancelled");
    slow.advance(25_000);
    assertTrue(
        slow.invocations.values().stream().allMatch(invocation -> invocation.answer != null));
  }

  /**
   * Queued invocations that can no longer be answered in time are throttled at once, not just
   * before their client's timeout.
   */
  @Example
  void invocationThatCannotBeInTimeIsAnsweredAtOnce() {
    drainAllHosts();
    ScriptedFleet.ClientInvocation invocation = fleet.submit(1, 42, 3000);
    fleet.advance(1020);
    assertEquals("throttled", invocation.answer);
  }

  /**
   * Regression: an invocation with little time left was queued as long as any other, until its
   * answer was of no use to its client.
   */
  @Example
  void littleTimeLeftShortensTheTimeInTheQueue() {
    drainAllHosts();
    ScriptedFleet.ClientInvocation invocation = fleet.submit(1, 42, 400);
    fleet.advance(180);
    assertEquals("throttled", invocation.answer);
  }
}
