package flintlead.routing.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.routing.pool.Layout.HostDescriptor;
import flintlead.routing.pool.PoolRouter.InvocationResult;
import flintlead.routing.pool.Route.SplitKey;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Invariants of the router after any sequence of events. */
class PoolRouterInvariantsTest extends PoolRouterFixture {

  /** A random sequence of events on one router, with the checks of its invariants. */
  private static final class History {
    private final Random random;
    private final PoolRouter router;
    private Moment now = new Moment(1_000_000);
    private final List<PoolAssignment> inFlight = new ArrayList<>();

    /** The selector of the hosts that each invocation may use, as of its assignment. */
    private final Map<PoolAssignment, Selector> hostsAtAssignment = new HashMap<>();

    History(long seed) {
      this.random = new Random(seed);
      this.router = new PoolRouter(60, new Random(seed + 1), now, line -> {});
    }

    void step() {
      now = now.plus(Span.ofMillis(random.nextInt(120)));
      int event = random.nextInt(20);
      if (event < 9) {
        assign();
      } else if (event < 16 && !inFlight.isEmpty()) {
        PoolAssignment released = inFlight.remove(random.nextInt(inFlight.size()));
        router.release(released, InvocationResult.values()[random.nextInt(3)], 0.1, now);
      } else if (event < 18) {
        router.updateHosts(hosts(random.nextInt(5), random.nextInt(5)));
      } else {
        Layout one = layout(random);
        Layout other = layout(random);
        router.applyTransition(new LayoutTransition(one, other, random.nextInt(3) / 2.0), now);
      }
      checkPools();
      inFlight.forEach(this::checkHosts);
    }

    private void assign() {
      Map<Integer, PoolSnapshot> before = new HashMap<>();
      router.snapshots().stream()
          .filter(PoolSnapshot::listed)
          .forEach(pool -> before.put(pool.number(), pool));
      String key = random.nextBoolean() ? "t" + random.nextInt(12) : null;
      Optional<Integer> poolOfFirst = poolOfKey(key);
      RouteRequest request = new RouteRequest("f" + random.nextInt(30), "check", null, key, WINDOW);
      PoolAssignment assignment = router.assign(request, now);
      if (assignment == null) {
        return;
      }
      assertTrue(
          poolOfFirst.isEmpty() || poolOfFirst.get() == assignment.poolId(),
          "a repeat of an invocation in flight was assigned to another pool");
      PoolSnapshot pool = before.get(assignment.poolId());
      assertFalse(
          assignment.isSpillover() && !pool.up(), "spilled to a pool without enough ready hosts");
      assertTrue(
          pool == null || pool.inHand() < assignment.servingPool.definition.maxInFlight(),
          "more invocations in flight than maxInFlight");
      inFlight.add(assignment);
      hostsAtAssignment.put(assignment, assignment.servingPool.definition.selector());
    }

    private Optional<Integer> poolOfKey(String key) {
      return inFlight.stream()
          .filter(assignment -> key != null && key.equals(assignment.request.idempotencyKey()))
          .map(PoolAssignment::poolId)
          .findFirst();
    }

    private void checkPools() {
      List<PoolSnapshot> pools = router.snapshots();
      assertEquals(inFlight.size(), router.inFlight());
      assertEquals(inFlight.size(), pools.stream().mapToInt(PoolSnapshot::inHand).sum());
      assertEquals(
          pools.size(),
          pools.stream().map(PoolSnapshot::number).distinct().count(),
          "ids are unique");
      for (PoolSnapshot pool : pools) {
        assertTrue(pool.number() < PoolRouter.MAX_POOL_IDS);
        assertTrue(pool.away() >= 0 && pool.away() <= 1);
        assertTrue(pool.guestShare() > 0 && pool.guestShare() <= 1);
        assertTrue(pool.guests() >= 0 && pool.guests() <= pool.inHand());
        assertTrue(
            pool.listed() || pool.inHand() > 0,
            "a pool of an older layout must be removed with its last invocation");
      }
    }

    private void checkHosts(PoolAssignment assignment) {
      Selector expected = hostsAtAssignment.get(assignment);
      assertEquals(
          expected,
          assignment.servingPool.definition.selector(),
          "the hosts of an invocation in flight changed");
      for (HostDescriptor host : hosts(0, 0)) {
        long mask = router.poolMask(host.name(), 0, 0);
        assertEquals(expected.matches(host.name(), 0, 0), (mask >>> assignment.poolId() & 1) != 0);
      }
    }

    void releaseAll() {
      inFlight.forEach(
          assignment -> router.release(assignment, InvocationResult.UNKNOWN, 0.1, now));
      assertEquals(0, router.inFlight());
      assertTrue(router.snapshots().stream().allMatch(PoolSnapshot::listed));
    }
  }

  /**
   * Random assignments, releases, changes of ready hosts and of layouts; the invariants are checked
   * after each step.
   */
  @Property(tries = 300, seed = "4823")
  void invariantsHoldInRandomHistories(@ForAll long seed) {
    History history = new History(seed);
    for (int step = 0; step < 300; step++) {
      history.step();
    }
    history.releaseAll();
  }

  private static Layout layout(Random random) {
    String[] names = {"a", "b"};
    List<Pool> pools = new ArrayList<>();
    for (String name : names) {
      Selector hosts =
          new Selector(
              List.of(
                  new NamePattern(
                      random.nextBoolean() ? name + "-*" : name + "-" + random.nextInt(4))),
              List.of(),
              List.of());
      pools.add(
          new Pool(
              name,
              hosts,
              random.nextInt(3),
              1 + random.nextInt(30),
              random.nextBoolean() ? List.of() : List.of(name.equals("a") ? "b" : "a")));
    }
    return new Layout(
        pools,
        List.of(
            route("f1*", names[random.nextInt(2)]),
            split(SplitKey.values()[random.nextInt(3)], 1, random.nextInt(3))));
  }
}
