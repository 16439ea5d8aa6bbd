package flintlead.routing.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.routing.pool.PoolRouter.InvocationResult;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * What an unavailable or failing pool spills, what other pools accept, and that the failure of one
 * pool does not spread to the next.
 */
class SpilloverTest extends PoolRouterFixture {

  @Test
  void aPoolWithoutHostsSpillsItsFunctionsAndTakesThemBackGradually() {
    applyLayout(spilling());
    assertEquals(
        Map.of("a", 40), round("x", InvocationResult.SUCCEEDED, InvocationResult.SUCCEEDED));
    router.updateHosts(hosts(0, 4));
    assertTrue(logLines.get(0).contains("0 ready hosts"), logLines.toString());
    Map<String, Integer> away = round("x", InvocationResult.SUCCEEDED, InvocationResult.SUCCEEDED);
    assertTrue(
        away.getOrDefault("b", 0) < 20,
        "few are accepted at first, as the pool has its own functions: " + away);
    for (int i = 0; i < 120; i++) {
      away = round("x", InvocationResult.FAILED, InvocationResult.SUCCEEDED);
    }
    assertEquals(40, away.get("b"), "all are accepted within seconds, as the pool stays fast");
    router.updateHosts(hosts(4, 4));
    Map<String, Integer> first = round("x", InvocationResult.SUCCEEDED, InvocationResult.SUCCEEDED);
    assertTrue(
        first.getOrDefault("a", 0) < 12,
        "the hosts have no functions loaded yet, so only few return at first: " + first);
    int before = 0;
    int rounds = 0;
    for (int i = 0; i < 400 && snapshot("a").away() > 0; i++) {
      rounds++;
      int home =
          round("x", InvocationResult.SUCCEEDED, InvocationResult.SUCCEEDED).getOrDefault("a", 0);
      assertTrue(home >= before - 6, "returned in one step: " + home + " after " + before);
      before = home;
    }
    assertTrue(rounds > 150, "return should take ten seconds, not " + rounds * 50 + " ms");
    assertEquals(
        Map.of("a", 40), round("x", InvocationResult.SUCCEEDED, InvocationResult.SUCCEEDED));
    assertTrue(logLines.get(logLines.size() - 1).contains("all of its functions again"));
  }

  @Test
  void aPoolWhoseResponsesAreFailuresSpillsInPart() {
    applyLayout(spilling());
    for (int i = 0; i < 200; i++) {
      round("x", InvocationResult.FAILED, InvocationResult.SUCCEEDED);
    }
    Map<String, Integer> assignedByPool =
        round("x", InvocationResult.FAILED, InvocationResult.SUCCEEDED);
    assertTrue(assignedByPool.get("b") >= 28, assignedByPool.toString());
    int tried = 0;
    for (int i = 0; i < 20; i++) {
      tried += round("x", InvocationResult.FAILED, InvocationResult.SUCCEEDED).getOrDefault("a", 0);
    }
    assertTrue(
        tried > 20, "trial invocations that the failing pool still gets: " + tried + " of 800");
  }

  /** The failure of one pool must not spread to the next. */
  @Test
  void aPoolThatFailsUnderSpilledInvocationsAcceptsFewer() {
    applyLayout(spilling());
    router.updateHosts(hosts(0, 4));
    for (int i = 0; i < 300; i++) {
      round("x", InvocationResult.FAILED, InvocationResult.SUCCEEDED);
    }
    assertEquals(1, snapshot("b").guestShare());
    for (int i = 0; i < 40; i++) {
      round("x", InvocationResult.FAILED, InvocationResult.SUCCEEDED);
      round("y", InvocationResult.FAILED, InvocationResult.FAILED);
    }
    assertTrue(
        round("x", InvocationResult.FAILED, InvocationResult.FAILED).getOrDefault("b", 0) <= 4,
        "spilled invocations accepted by a pool whose own invocations fail");
    assertTrue(snapshot("b").guestShare() < 0.1);
    assertEquals(0, snapshot("a").guests(), "nothing is spilled to a pool without ready hosts");
  }

  /**
   * A pool that can't serve its own invocations must not accept others: they would fail there and
   * delay its own.
   */
  @Test
  void aPoolThatSpillsAcceptsNone() {
    applyLayout(spilling());
    for (int i = 0; i < 12; i++) {
      round("y", InvocationResult.SUCCEEDED, InvocationResult.FAILED);
    }
    router.updateHosts(hosts(0, 4));
    assertTrue(snapshot("b").away() > 0);
    for (int i = 0; i < 400; i++) {
      assertEquals("a", poolOf(request("x" + i)));
    }
  }

  /**
   * The responses of an overloaded pool arrive too late to show the overload; its number of
   * invocations in flight shows it at once.
   */
  @Test
  void aPoolWithMoreInFlightThanWhenItWasFastAcceptsNone() {
    applyLayout(spilling());
    for (int i = 0; i < 100; i++) {
      round("y", InvocationResult.SUCCEEDED, InvocationResult.SUCCEEDED);
    }
    router.updateHosts(hosts(0, 4));
    for (int i = 0; i < 30; i++) {
      router.assign(request("y" + i), now);
    }
    int before = 0;
    for (int i = 0; i < 400; i++) {
      before += poolOf(request("x" + i)).equals("b") ? 1 : 0;
    }
    assertTrue(
        before > 50 && before < 150,
        "about a quarter are accepted while no more are in flight than usual: " + before);
    for (int i = 0; i < 60; i++) {
      router.assign(request("y" + i), now);
    }
    for (int i = 0; i < 400; i++) {
      assertEquals(
          "a", poolOf(request("x" + i)), "nothing is accepted with more in flight than usual");
    }
  }

  @Test
  void aFullPoolSpillsThenRejects() {
    applyLayout(new Layout(List.of(pool("a", 3, "b"), pool("b", 4)), List.of(Route.catchAll("a"))));
    Map<String, Integer> assignedByPool = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      PoolAssignment assignment = router.assign(request("f" + i), now);
      assignedByPool.merge(assignment == null ? "none" : assignment.poolName(), 1, Integer::sum);
    }
    assertEquals(Map.of("a", 3, "b", 4, "none", 33), assignedByPool);
    assertEquals(33, snapshot("a").turnedAway());
    assertEquals(7, router.inFlight());
  }

  @Test
  void aStuckPoolLeavesRoomForTheOthers() {
    applyLayout(
        new Layout(
            List.of(pool("a", 100_000), pool("b", 100_000)),
            List.of(route("x*", "a"), Route.catchAll("b"))));
    int inFlight = 0;
    while (router.assign(request("x" + inFlight), now) != null) {
      inFlight++;
    }
    assertEquals(800, inFlight, "four fifths of what the gateway admits");
    assertNotNull(router.assign(request("y"), now));
  }
}
