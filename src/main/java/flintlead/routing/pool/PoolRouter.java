package flintlead.routing.pool;

import flintlead.routing.pool.Layout.HostDescriptor;
import flintlead.time.Moment;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Assigns each invocation to a pool. While the idempotency key of an earlier invocation is known, a
 * repeat goes to the same pool. Any other invocation goes to the pool of its route or, while that
 * pool has too few ready hosts, fails or is full, to a pool that it spills to and that accepts the
 * invocation.
 *
 * <p>Four rules keep the failure of one pool from spreading to the next. A pool accepts spilled
 * invocations of a share of the functions only, which depends on how fast its own invocations are
 * ({@link SpilloverAdmission}). A spilled invocation is not spilled again. A pool that spills
 * accepts no spilled invocations. A recovering pool takes its functions back a share at a time
 * ({@link SpilloverController}).
 *
 * <p>Not thread-safe: it is used on the gateway's event loop only.
 */
public final class PoolRouter {

  /**
   * Maximum number of pools with an id, including those of older layouts: each has a bit in the
   * hosts' pool masks.
   */
  public static final int MAX_POOL_IDS = 63;

  /** The pool mask of a host that belongs to all pools. */
  public static final long ALL_POOLS = -1L;

  /**
   * Limit of the invocations in flight of one pool as a multiple of the gateway's free capacity;
   * the admission control limits the sources of invocations in the same way.
   */
  private static final double FREE_SHARE_MULTIPLE = 4;

  private static final int RECENT_REQUESTS = 1_024;
  private static final int STICKY_ASSIGNMENTS = 65_536;

  /** The result of an invocation as far as it is evidence of its pool's state. */
  public enum InvocationResult {
    /** It succeeded within its latency objective. */
    SUCCEEDED,
    /** It was throttled, failed, or was late. */
    FAILED,
    /** Its client disconnected, or the gateway is stopping: no evidence of the pool's state. */
    UNKNOWN
  }

  private final int capacity;
  private final PoolTable table;
  private final RouteSelector routes;
  private final SpilloverController spillover;
  private final StickyAssignments sticky = new StickyAssignments(STICKY_ASSIGNMENTS);
  private final RecentRequests requests = new RecentRequests(RECENT_REQUESTS);
  private List<HostDescriptor> knownHosts = List.of();
  private int totalInFlight;
  private boolean membershipChanged;

  /**
   * Creates a router with one pool of all hosts.
   *
   * @param capacity invocations that the gateway may have in flight
   * @param random selects targets in splits by invocation, and trial invocations of a failing pool
   * @param log receives a message with the reason whenever a pool starts or stops spilling
   */
  public PoolRouter(int capacity, Random random, Moment now, Consumer<String> log) {
    this.capacity = capacity;
    this.table = new PoolTable(MAX_POOL_IDS, sticky::removePool);
    this.routes =
        new RouteSelector(
            LayoutTransition.of(Layout.DEFAULT),
            random,
            pool -> table.listedState(pool).readyHosts);
    this.spillover = new SpilloverController(random, log);
    table.add(Layout.DEFAULT.pools().iterator().next(), now);
  }

  // ---- assignment ----

  /**
   * Assigns an invocation to a pool until {@link #release}.
   *
   * @return null if no pool accepts it; it has not been sent to any host, so it may be throttled
   */
  public PoolAssignment assign(RouteRequest request, Moment now) {
    PoolState stickyPool =
        request.idempotencyKey() == null ? null : sticky.find(request.idempotencyKey(), now);
    PoolState home = stickyPool != null ? stickyPool : table.listedState(routes.select(request));
    spillover.evaluate(home, now);
    requests.add(request);
    PoolState assigned = stickyPool != null ? home : homeOrSpillover(home, request, now);
    if (isFull(assigned)) {
      home.counters.rejected++;
      return null;
    }
    PoolAssignment assignment = new PoolAssignment(assigned, home, request);
    recordAssigned(assignment, now);
    return assignment;
  }

  private PoolState homeOrSpillover(PoolState home, RouteRequest request, Moment now) {
    if (!isFull(home) && !spillover.shouldSpill(home, request.function())) {
      return home;
    }
    for (String name : home.definition.spillTo()) {
      PoolState other = table.listedState(routes.definition(name));
      spillover.evaluate(other, now);
      if (other != home
          && isHealthy(other)
          && !isFull(other)
          && other.admission.offer(request.function(), other.inFlight, now)) {
        return other;
      }
    }
    return home;
  }

  private static boolean isHealthy(PoolState pool) {
    return pool.available && pool.spillShare <= 0;
  }

  private boolean isFull(PoolState pool) {
    if (pool.inFlight >= pool.definition.maxInFlight()) {
      return true;
    }
    int free = Math.max(0, capacity - totalInFlight);
    return table.size() > 1 && pool.inFlight >= FREE_SHARE_MULTIPLE * free;
  }

  private void recordAssigned(PoolAssignment assignment, Moment now) {
    PoolState pool = assignment.servingPool;
    totalInFlight++;
    pool.inFlight++;
    pool.counters.assigned++;
    if (assignment.isSpillover()) {
      pool.spilloverInFlight++;
      pool.counters.spilledIn++;
      assignment.homePool.counters.spilledOut++;
    }
    String key = assignment.request.idempotencyKey();
    if (key != null) {
      sticky.recordAssignment(key, pool, now);
    }
  }

  /**
   * Ends the assignment of an invocation that has its final response or whose client has
   * disconnected. A second call for the same assignment has no effect.
   *
   * @param relativeLatency the time that it took, as a share of its latency objective
   */
  public void release(
      PoolAssignment assignment, InvocationResult result, double relativeLatency, Moment now) {
    if (assignment.released) {
      return;
    }
    assignment.released = true;
    PoolState pool = assignment.servingPool;
    totalInFlight--;
    pool.inFlight--;
    pool.spilloverInFlight -= assignment.isSpillover() ? 1 : 0;
    RouteRequest request = assignment.request;
    if (request.idempotencyKey() != null) {
      sticky.recordCompletion(
          request.idempotencyKey(), pool, now.plus(request.deduplicationWindow()));
    }
    if (result != InvocationResult.UNKNOWN) {
      recordResult(assignment, result == InvocationResult.SUCCEEDED, relativeLatency);
      spillover.evaluate(pool, now);
    }
    membershipChanged |= table.removeIfRetired(pool);
  }

  private static void recordResult(
      PoolAssignment assignment, boolean succeeded, double relativeLatency) {
    PoolState pool = assignment.servingPool;
    if (succeeded) {
      pool.counters.succeeded++;
    } else {
      pool.counters.failed++;
    }
    if (!assignment.isSpillover()) {
      pool.window.record(succeeded, relativeLatency);
    }
  }

  // ---- layouts and hosts ----

  /**
   * Routes new invocations by these layouts from now on. Invocations in flight keep their pool.
   *
   * @return the reason for a refusal, in which case nothing has changed; empty on success
   */
  public List<String> applyTransition(LayoutTransition next, Moment now) {
    List<String> refusal = table.replaceListed(next.pools(), now).stream().toList();
    if (refusal.isEmpty()) {
      routes.setTransition(next);
      updateHosts(knownHosts);
      membershipChanged = true;
    }
    return refusal;
  }

  /** Replaces the list of hosts. */
  public void updateHosts(Collection<HostDescriptor> all) {
    knownHosts = List.copyOf(all);
    table.states().forEach(pool -> spillover.updateHosts(pool, knownHosts));
  }

  /**
   * Returns the pools that a host belongs to, as a mask with a bit for each pool id; {@link
   * #ALL_POOLS} while only the default layout is used.
   */
  public long poolMask(String host, int zone, int kind) {
    if (routes.transition().target() == Layout.DEFAULT && table.size() == 1) {
      return ALL_POOLS;
    }
    long mask = 0;
    for (PoolState pool : table.states()) {
      if (pool.definition.selector().matches(host, zone, kind)) {
        mask |= pool.mask();
      }
    }
    return mask;
  }

  /** Returns whether the pools that hosts belong to may have changed since the last call. */
  public boolean pollMembershipChanged() {
    boolean changed = membershipChanged;
    membershipChanged = false;
    return changed;
  }

  // ---- observation ----

  /** The layouts in force. */
  public LayoutTransition transition() {
    return routes.transition();
  }

  /** Invocations in flight in all pools. */
  public int inFlight() {
    return totalInFlight;
  }

  /**
   * Number of idempotency keys evicted while still valid; a repeat of their invocation may go to
   * another pool.
   */
  public long evictedStickyKeys() {
    return sticky.evicted();
  }

  /** Returns the most recent requests, newest first, at most {@code limit}. */
  public List<RouteRequest> recentRequests(int limit) {
    return requests.newest(limit);
  }

  /**
   * Returns the states of the pools in the layouts in force, and of older pools with invocations in
   * flight, ordered by id.
   */
  public List<PoolSnapshot> snapshots() {
    return table.states().stream()
        .sorted(Comparator.comparingInt(pool -> pool.id))
        .map(PoolState::snapshot)
        .toList();
  }

  /**
   * Share of the requests that the second layout routes to other hosts than the first; their
   * functions have to be loaded there.
   */
  public static double movedShare(Layout first, Layout second, Collection<RouteRequest> requests) {
    return RouteSelector.movedShare(first, second, requests);
  }
}
