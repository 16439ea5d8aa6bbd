package flintlead.routing.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import flintlead.routing.pool.Layout.HostDescriptor;
import flintlead.routing.pool.PoolRouter.InvocationResult;
import flintlead.routing.pool.Route.SplitKey;
import flintlead.routing.pool.Route.Target;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Two pools of four hosts each, a router over them, and a clock. */
abstract class PoolRouterFixture {

  static final Span WINDOW = Span.ofMillis(2_000);

  final List<String> logLines = new ArrayList<>();
  Moment now = new Moment(1_000_000);
  final PoolRouter router = new PoolRouter(1_000, new Random(5), now, logLines::add);

  static Pool pool(String name, int maxInFlight, String... spillTo) {
    return new Pool(
        name,
        new Selector(List.of(new NamePattern(name + "-*")), List.of(), List.of()),
        1,
        maxInFlight,
        List.of(spillTo));
  }

  static Route route(String function, String pool) {
    return new Route(
        List.of(new NamePattern(function)),
        List.of(),
        List.of(),
        List.of(),
        List.of(new Target(pool, 1)),
        SplitKey.FUNCTION);
  }

  static Route split(SplitKey by, double one, double other) {
    return new Route(
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(new Target("a", one), new Target("b", other)),
        by);
  }

  static List<HostDescriptor> hosts(int a, int b) {
    List<HostDescriptor> hosts = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      hosts.add(new HostDescriptor("a-" + i, 0, 0, i < a));
      hosts.add(new HostDescriptor("b-" + i, 0, 0, i < b));
    }
    return hosts;
  }

  static RouteRequest request(String function) {
    return new RouteRequest(function, "check", null, null, WINDOW);
  }

  static RouteRequest keyed(String function, String idempotencyKey) {
    return new RouteRequest(function, "lodge", null, idempotencyKey, WINDOW);
  }

  void applyLayout(Layout layout) {
    assertEquals(List.of(), layout.validate());
    assertEquals(List.of(), router.applyTransition(LayoutTransition.of(layout), now));
    router.updateHosts(hosts(4, 4));
  }

  void advance(long millis) {
    now = now.plus(Span.ofMillis(millis));
  }

  String poolOf(RouteRequest request) {
    PoolAssignment assignment = router.assign(request, now);
    String pool = assignment == null ? null : assignment.poolName();
    if (assignment != null) {
      router.release(assignment, InvocationResult.UNKNOWN, 0.1, now);
    }
    return pool;
  }

  /**
   * Assigns one invocation of each of 40 functions and releases them 50 ms later, with a result
   * that depends on the pool.
   *
   * @return number of invocations assigned to each pool
   */
  Map<String, Integer> round(
      String functionPrefix, InvocationResult resultInA, InvocationResult resultInB) {
    Map<String, Integer> assignedByPool = new HashMap<>();
    List<PoolAssignment> assignments = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      PoolAssignment assignment = router.assign(request(functionPrefix + i), now);
      if (assignment != null) {
        assignments.add(assignment);
        assignedByPool.merge(assignment.poolName(), 1, Integer::sum);
      }
    }
    advance(50);
    assignments.forEach(
        assignment ->
            router.release(
                assignment, assignment.poolName().equals("a") ? resultInA : resultInB, 0.1, now));
    return assignedByPool;
  }

  Layout spilling() {
    return new Layout(
        List.of(pool("a", 500, "b"), pool("b", 500, "a")),
        List.of(route("x*", "a"), Route.catchAll("b")));
  }

  PoolSnapshot snapshot(String pool) {
    return router.snapshots().stream()
        .filter(each -> each.name().equals(pool) && each.listed())
        .findFirst()
        .orElseThrow();
  }
}
