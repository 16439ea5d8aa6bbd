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
  private static final int CROWD = 8;
  private static final int ROUNDS = 20;

  /** Slow enough that the concurrency limits of the hosts decrease. */
  private static final int SLOW_ANSWER_MILLIS = 450;

  private static final long NEW_FUNCTION = 1_000;
  private static final double SAVED = 10;
  private static final double SHARE = 0.05;

  private final ScriptedFleet fleet = new ScriptedFleet(ScriptedFleet.facts(true, true, 1), HOSTS);
  private final Map<Long, Set<Long>> hostsByFunction = new HashMap<>();
  private int answers;

  /**
   * Answers all attempts, including those that the answers release, and records the hosts of each
   * function.
   */
  private void answerAll(Map<ScriptedFleet.Taken, Long> functions) {
    while (!fleet.out.isEmpty()) {
      ScriptedFleet.Out out = fleet.out.get(0);
      long function = functions.get(fleet.invs.get(out.inv));
      hostsByFunction.computeIfAbsent(function, each -> new HashSet<>()).add(out.host);
      fleet.end(out, Outcome.OK);
      answers++;
    }
  }

  /** Loads each function at one host, one after another. */
  private void loadEach(long firstFunction, Map<ScriptedFleet.Taken, Long> functions) {
    for (long function = firstFunction; function < firstFunction + FUNCTIONS; function++) {
      functions.put(fleet.take(0, function, 2000), function);
      fleet.pass(100);
      answerAll(functions);
    }
  }

  /** Sends concurrent invocations of each function, then answers them all. */
  private void crowd(long firstFunction, Map<ScriptedFleet.Taken, Long> functions) {
    for (long function = firstFunction; function < firstFunction + FUNCTIONS; function++) {
      for (int i = 0; i < CROWD; i++) {
        functions.put(fleet.take(0, function, 2000), function);
      }
    }
    fleet.pass(SLOW_ANSWER_MILLIS);
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
  void loadsForCapacityAreAShareOfTheAnswers() {
    Map<ScriptedFleet.Taken, Long> functions = new HashMap<>();
    for (int round = 0; round < ROUNDS; round++) {
      loadEach(round * FUNCTIONS, functions);
      crowd(round * FUNCTIONS, functions);
      fleet.pass(500);
    }
    assertTrue(spills() > 0, "no function was loaded on a second host");
    assertTrue(
        spills() <= SAVED + SHARE * answers, spills() + " spills for " + answers + " answers");
  }

  /** A function that is loaded nowhere may be loaded even if others have used up the budget. */
  @Example
  void aFirstLoadNeedsNoBudget() {
    Map<ScriptedFleet.Taken, Long> functions = new HashMap<>();
    for (int round = 0; round < ROUNDS; round++) {
      loadEach(round * FUNCTIONS, functions);
      crowd(round * FUNCTIONS, functions);
    }
    ScriptedFleet.Taken first = fleet.take(0, NEW_FUNCTION, 2000);
    assertEquals(1, first.outs.size());
  }

  @Example
  void answersEarnLoadsUpToABound() {
    SpillBudget budget = new SpillBudget();
    for (int i = 0; i < SAVED; i++) {
      assertTrue(budget.isAvailable());
      budget.spend();
    }
    assertFalse(budget.isAvailable());
    for (int i = 0; i < 21; i++) {
      budget.earn();
    }
    assertTrue(budget.isAvailable());
    budget.spend();
    assertFalse(budget.isAvailable());
    for (int i = 0; i < 1_000; i++) {
      budget.earn();
    }
    int available = 0;
    while (budget.isAvailable()) {
      budget.spend();
      available++;
    }
    assertEquals(SAVED, available);
  }
}
