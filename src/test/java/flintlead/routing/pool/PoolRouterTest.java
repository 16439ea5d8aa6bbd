package flintlead.routing.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.routing.pool.PoolRouter.InvocationResult;
import flintlead.routing.pool.Route.SplitKey;
import flintlead.routing.pool.Route.Target;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Assignment of invocations to pools by route, idempotency key and the layouts in force. */
class PoolRouterTest extends PoolRouterFixture {

  // ---- routes ----

  @Test
  void withoutALayoutAllHostsAreOnePool() {
    assertEquals("all", poolOf(request("f")));
    assertEquals(PoolRouter.ALL_POOLS, router.poolMask("any", 3, 4));
  }

  @Test
  void theFirstMatchingRouteApplies() {
    applyLayout(
        new Layout(
            List.of(pool("a", 9), pool("b", 9)),
            List.of(
                new Route(
                    List.of(new NamePattern("f*")),
                    List.of("lodge"),
                    List.of("mill"),
                    List.of(),
                    List.of(new Target("b", 1)),
                    SplitKey.FUNCTION),
                Route.catchAll("a"))));
    assertEquals("b", poolOf(new RouteRequest("f1", "lodge", "mill", null, WINDOW)));
    for (RouteRequest other :
        List.of(
            new RouteRequest("g", "lodge", "mill", null, WINDOW),
            new RouteRequest("f", "check", "mill", null, WINDOW),
            new RouteRequest("f", "lodge", null, null, WINDOW),
            new RouteRequest("f", "lodge", "other", null, WINDOW))) {
      assertEquals("a", poolOf(other));
    }
    assertEquals(1L << snapshot("a").number(), router.poolMask("a-1", 0, 0));
    assertEquals(0, router.poolMask("c-1", 0, 0));
  }

  @Test
  void aRouteMayDependOnTheReadyHostsOfAPool() {
    applyLayout(
        new Layout(
            List.of(pool("a", 9), pool("b", 9)),
            List.of(
                new Route(
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(new Route.Condition("a", true, 2)),
                    List.of(new Target("b", 1)),
                    SplitKey.FUNCTION),
                Route.catchAll("a"))));
    assertEquals("a", poolOf(request("f")));
    router.updateHosts(hosts(1, 4));
    assertEquals("b", poolOf(request("f")));
  }

  /** Each function is routed to one target, the same at every gateway. */
  @Test
  void aLargerShareOfASplitMovesFunctionsOverAndNoneBack() {
    Set<String> before = new HashSet<>();
    for (double share : new double[] {0, 0.05, 0.25, 1}) {
      PoolRouter one = new PoolRouter(100, new Random(1), now, logLines::add);
      PoolRouter other = new PoolRouter(100, new Random(2), now, logLines::add);
      Layout layout =
          new Layout(
              List.of(pool("a", 9), pool("b", 9)),
              List.of(split(SplitKey.FUNCTION, share, 1 - share)));
      one.applyTransition(LayoutTransition.of(layout), now);
      other.applyTransition(LayoutTransition.of(layout), now);
      Set<String> assignedToA = new HashSet<>();
      for (int i = 0; i < 2_000; i++) {
        PoolAssignment assignment = one.assign(request("f" + i), now);
        PoolAssignment same = other.assign(request("f" + i), now);
        assertEquals(assignment.poolName(), same.poolName());
        one.release(assignment, InvocationResult.UNKNOWN, 0.1, now);
        other.release(same, InvocationResult.UNKNOWN, 0.1, now);
        if (assignment.poolName().equals("a")) {
          assignedToA.add("f" + i);
        }
      }
      assertEquals(share, assignedToA.size() / 2_000.0, 0.04);
      assertTrue(assignedToA.containsAll(before));
      before = assignedToA;
    }
  }

  @Test
  void aSplitByCustomerKeepsACustomerTogetherAndOneByInvocationDoesNot() {
    applyLayout(
        new Layout(List.of(pool("a", 9), pool("b", 9)), List.of(split(SplitKey.CUSTOMER, 1, 1))));
    Set<String> sides = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      String side = poolOf(new RouteRequest("f", "check", "mill" + i, null, WINDOW));
      assertEquals(side, poolOf(new RouteRequest("g", "check", "mill" + i, null, WINDOW)));
      sides.add(side);
    }
    assertEquals(2, sides.size());
    applyLayout(
        new Layout(List.of(pool("a", 9), pool("b", 9)), List.of(split(SplitKey.INVOCATION, 1, 1))));
    int a = 0;
    for (int i = 0; i < 400; i++) {
      a += poolOf(request("f")).equals("a") ? 1 : 0;
    }
    assertTrue(a > 150 && a < 250, "invocations of 400 that were randomly assigned to a: " + a);
  }

  // ---- sticky assignments ----

  /**
   * Hosts of another pool don't know the idempotency key: a repeat sent there would take effect
   * twice.
   */
  @Test
  void aRepeatIsAssignedToThePoolOfTheFirstWhileItsKeyIsKnown() {
    applyLayout(spilling());
    PoolAssignment first = router.assign(keyed("x1", "t"), now);
    assertEquals("a", first.poolName());
    router.updateHosts(hosts(0, 4));
    assertEquals("b", router.assign(keyed("x1", "other"), now).poolName());
    assertEquals(
        "a", poolOf(keyed("x1", "t")), "must go to the same pool even if it has no ready hosts");
    Layout rerouted =
        new Layout(List.of(pool("a", 500), pool("b", 500)), List.of(Route.catchAll("b")));
    router.applyTransition(LayoutTransition.of(rerouted), now);
    advance(60_000);
    assertEquals("a", poolOf(keyed("x1", "t")), "the first invocation is still in flight");
    router.release(first, InvocationResult.FAILED, 0.1, now);
    advance(1_999);
    assertEquals("a", poolOf(keyed("x1", "t")));
    advance(2_001);
    assertEquals("b", poolOf(keyed("x1", "t")), "the hosts no longer remember the key");
  }

  @Test
  void stickyAssignmentsAreBoundedAndValidOnesEvictedAreCounted() {
    StickyAssignments sticky = new StickyAssignments(100);
    PoolState pool = new PoolState(0, pool("a", 1), now, new PoolCounters());
    for (int i = 0; i < 1_000; i++) {
      sticky.recordAssignment("t" + i, pool, now);
      sticky.recordCompletion("t" + i, pool, now.plus(WINDOW));
    }
    assertEquals(100, sticky.size());
    assertEquals(900, sticky.evicted());
    advance(3_000);
    for (int i = 0; i < 60; i++) {
      sticky.recordAssignment("n" + i, pool, now);
    }
    assertEquals(60, sticky.size(), "each new assignment removes two expired ones");
    assertEquals(900, sticky.evicted());
    sticky.removePool(pool);
    assertNull(sticky.find("n1", now));
  }

  // ---- observation ----

  /** The control socket sends these names. */
  @Test
  void aSnapshotIsSentUnderFixedNames() {
    applyLayout(spilling());
    assertEquals(
        List.of(
            "name",
            "number",
            "listed",
            "up",
            "ready",
            "inHand",
            "guests",
            "away",
            "guestShare",
            "taken",
            "succeeded",
            "failed",
            "came",
            "went",
            "turnedAway"),
        List.copyOf(snapshot("a").toFields().keySet()));
  }

  // ---- layouts in transition ----

  @Test
  void anAssignmentKeepsItsPoolToItsRelease() {
    applyLayout(new Layout(List.of(pool("a", 9), pool("b", 9)), List.of(Route.catchAll("a"))));
    PoolAssignment old = router.assign(request("f"), now);
    Pool other =
        new Pool(
            "a",
            new Selector(List.of(new NamePattern("b-*")), List.of(), List.of()),
            1,
            9,
            List.of());
    assertEquals(
        List.of(),
        router.applyTransition(
            LayoutTransition.of(new Layout(List.of(other), List.of(Route.catchAll("a")))), now));
    assertTrue(router.pollMembershipChanged());
    PoolAssignment newer = router.assign(request("f"), now);
    assertTrue(old.poolId() != newer.poolId());
    assertEquals(
        1L << old.poolId(),
        router.poolMask("a-0", 0, 0),
        "its hosts belong to the old pool while it has invocations in flight");
    assertEquals(1L << newer.poolId(), router.poolMask("b-0", 0, 0));
    router.release(old, InvocationResult.SUCCEEDED, 0.1, now);
    assertTrue(router.pollMembershipChanged());
    assertEquals(
        0, router.poolMask("a-0", 0, 0), "the old pool has no hosts after its last invocation");
    router.release(old, InvocationResult.SUCCEEDED, 0.1, now);
    assertEquals(1, router.inFlight(), "a second release has no effect");
    assertEquals(
        1,
        router.snapshots().stream()
            .filter(each -> each.name().equals("a") && each.listed())
            .findFirst()
            .orElseThrow()
            .succeeded(),
        "counters are kept by the name of the pool");
  }

  @Test
  void aLayoutWithoutFreeIdsIsRefusedAndTheOneBeforeStays() {
    List<PoolAssignment> assignments = new ArrayList<>();
    List<String> refused = List.of();
    for (int round = 0; round < 8 && refused.isEmpty(); round++) {
      List<Pool> pools = new ArrayList<>();
      List<Route> routes = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        pools.add(
            new Pool(
                "p" + i,
                new Selector(List.of(new NamePattern("r" + round + "-" + i)), List.of(), List.of()),
                0,
                9,
                List.of()));
        routes.add(i == 9 ? Route.catchAll("p9") : route("f" + i, "p" + i));
      }
      refused = router.applyTransition(LayoutTransition.of(new Layout(pools, routes)), now);
      for (int i = 0; i < 10; i++) {
        assignments.add(router.assign(request("f" + i), now));
      }
    }
    assertTrue(
        refused.get(0).contains("60 older pools") || refused.get(0).contains("50 older pools"),
        refused.toString());
    assertTrue(
        router.snapshots().stream().allMatch(each -> each.number() < PoolRouter.MAX_POOL_IDS));
    assignments.forEach(
        assignment -> router.release(assignment, InvocationResult.SUCCEEDED, 0.1, now));
    assertEquals(10, router.snapshots().size(), "a pool's id is freed with its last invocation");
  }

  @Test
  void aTransitionMovesFunctionsOverAndBack() {
    Layout one = new Layout(List.of(pool("a", 500), pool("b", 500)), List.of(Route.catchAll("a")));
    Layout other = new Layout(List.of(pool("b", 500)), List.of(Route.catchAll("b")));
    applyLayout(one);
    Set<String> before = new HashSet<>();
    for (double share : new double[] {0.25, 0.5, 1, 0}) {
      assertEquals(
          List.of(),
          router.applyTransition(
              share == 0 ? LayoutTransition.of(one) : new LayoutTransition(one, other, share),
              now));
      Set<String> moved = new HashSet<>();
      for (int i = 0; i < 1_000; i++) {
        if (poolOf(request("f" + i)).equals("b")) {
          moved.add("f" + i);
        }
      }
      assertEquals(share, moved.size() / 1_000.0, 0.05);
      assertTrue(share == 0 || moved.containsAll(before));
      before = moved;
    }
    assertEquals(1, PoolRouter.movedShare(one, other, List.of(request("f"))));
    assertEquals(0, PoolRouter.movedShare(one, one, List.of(request("f"))));
  }
}
