package flintlead.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.state.SpillBudget;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;

/**
 * Loads of functions that are already loaded on another host are limited to a share of the answers.
 */
class SpillBudgetTest {

  private static final int HOSTS = 8;
  private static final int FUNCTIONS = 10;
  private static final int CONCURRENT_INVOCATIONS = 8;
  private static final int ROUNDS = 20;

  /** Slow enough that the concurrency limits of the hosts decrease. */
  private static final int SLOW_ANSWER_MILLIS = 450;

  private static final long NEW_FUNCTION = 1_000;
  private static final double MAX_SAVED = 10;
  private static final double SPILLS_PER_ANSWER = 0.05;

  private final ScriptedFleet fleet =
      new ScriptedFleet(ScriptedFleet.deployment(true, true, 1), HOSTS);
  private final Map<Long, Set<Long>> hostsByFunction = new HashMap<>();
  private int answers;

  /**
   * Answers all attempts, including those that the answers release, and records the hosts of each
   * function.
   */
  private void answerAll(Map<ScriptedFleet.ClientInvocation, Long> functions) {
    while (!fleet.inFlight.isEmpty()) {
      ScriptedFleet.SentAttempt attempt = fleet.inFlight.get(0);
      long function = functions.get(fleet.invocations.get(attempt.invocation));
      hostsByFunction.computeIfAbsent(function, each -> new HashSet<>()).add(attempt.host);
      fleet.endAttempt(attempt, Outcome.OK);
      answers++;
    }
  }

  /** Loads each function at one host, one after another. */
  private void loadEach(long firstFunction, Map<ScriptedFleet.ClientInvocation, Long> functions) {
    for (long function = firstFunction; function < firstFunction + FUNCTIONS; function++) {
      functions.put(fleet.submit(0, function, 2000), function);
      fleet.advance(100);
      answerAll(functions);
    }
  }

  /** Sends concurrent invocations of each function, then answers them all. */
  private void invokeConcurrently(
      long firstFunction, Map<ScriptedFleet.ClientInvocation, Long> functions) {
    for (long function = firstFunction; function < firstFunction + FUNCTIONS; function++) {
      for (int i = 0; i < CONCURRENT_INVOCATIONS; i++) {
        functions.put(fleet.submit(0, function, 2000), function);
      }
    }
    fleet.advance(SLOW_ANSWER_MILLIS);
    answerAll(functions);
  }

  private int spills() {
    return hostsByFunction.values().stream().mapToInt(hosts -> hosts.size() - 1).sum();
  }

  /**
   * Regression from a soak run: loads made to gain capacity used up so much capacity that they
   * caused further loads.
   */
  @Example
  void spillsAreLimitedToAShareOfTheAnswers() {
    Map<ScriptedFleet.ClientInvocation, Long> functions = new HashMap<>();
    for (int round = 0; round < ROUNDS; round++) {
      loadEach(round * FUNCTIONS, functions);
      invokeConcurrently(round * FUNCTIONS, functions);
      fleet.advance(500);
    }
    assertTrue(spills() > 0, "no function was loaded on a second host");
    assertTrue(
        spills() <= MAX_SAVED + SPILLS_PER_ANSWER * answers,
        spills() + " spills for " + answers + " answers");
  }

  /** A function that is loaded nowhere may be loaded even if others have used up the budget. */
  @Example
  void aFirstLoadNeedsNoBudget() {
    Map<ScriptedFleet.ClientInvocation, Long> functions = new HashMap<>();
    for (int round = 0; round < ROUNDS; round++) {
      loadEach(round * FUNCTIONS, functions);
      invokeConcurrently(round * FUNCTIONS, functions);
    }
    ScriptedFleet.ClientInvocation first = fleet.submit(0, NEW_FUNCTION, 2000);
    assertEquals(1, first.attempts.size());
  }

  @Example
  void answersReplenishTheBudgetUpToItsMaximum() {
    SpillBudget budget = new SpillBudget();
    for (int i = 0; i < MAX_SAVED; i++) {
      assertTrue(budget.isAvailable());
      budget.spend();
    }
    assertFalse(budget.isAvailable());
    for (int i = 0; i < 21; i++) {
      budget.deposit();
    }
    assertTrue(budget.isAvailable());
    budget.spend();
    assertFalse(budget.isAvailable());
    for (int i = 0; i < 1_000; i++) {
      budget.deposit();
    }
    int available = 0;
    while (budget.isAvailable()) {
      budget.spend();
      available++;
    }
    assertEquals(MAX_SAVED, available);
  }
}
