package flintlead.routing.pool;

import flintlead.routing.pool.Layout.HostDescriptor;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.Collection;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Decides which of its own functions a pool spills to other pools: all while it has too few ready
 * hosts, a growing share while nearly all of its responses are failures. A recovering pool takes
 * its functions back a share at a time, because its hosts have to load them first. Not thread-safe.
 */
final class SpilloverController {

  /** Above this failure rate the spilled share grows. */
  private static final double FAILURE_RATE_HIGH = 0.9;

  /** Below this failure rate the spilled share shrinks. */
  private static final double FAILURE_RATE_LOW = 0.08;

  /** Growth of the spilled share with each evaluation. */
  private static final double SPILL_INCREASE = 0.1;

  /**
   * Decrease of the spilled share for each {@link EvaluationWindow#INTERVAL} since the last
   * evaluation.
   */
  private static final double SPILL_DECREASE = 0.02;

  /**
   * Share of the invocations to be spilled that an available pool still serves itself, so that its
   * recovery is noticed.
   */
  private static final double TRIAL_SHARE = 0.1;

  private final Random random;
  private final Consumer<String> log;

  /**
   * @param log receives a message with the reason whenever a pool starts or stops spilling
   */
  SpilloverController(Random random, Consumer<String> log) {
    this.random = random;
    this.log = log;
  }

  /**
   * Whether an invocation of the function that is routed to the pool should be offered to other
   * pools.
   */
  boolean shouldSpill(PoolState pool, String function) {
    if (pool.spillShare <= 0 || HashFraction.SPILL.of(function) >= pool.spillShare) {
      return false;
    }
    return !pool.available || random.nextDouble() >= TRIAL_SHARE;
  }

  /**
   * Adjusts the share that the pool spills and the share that it accepts from other pools to the
   * responses since the last evaluation, if enough time has passed and there are enough responses.
   */
  void evaluate(PoolState pool, Moment now) {
    EvaluationWindow window = pool.window;
    if (!window.isDue(now, pool.available)) {
      return;
    }
    double before = pool.spillShare;
    double failureRate = window.failureRate();
    double meanRelativeLatency = window.meanRelativeLatency();
    pool.spillShare = nextSpillShare(pool, failureRate, window.elapsed(now));
    window.reset(now);
    pool.admission.adjust(meanRelativeLatency, pool.inFlight, now);
    logChange(pool, before, failureRate);
  }

  private static double nextSpillShare(PoolState pool, double failureRate, Span elapsed) {
    if (!pool.available) {
      return 1;
    }
    if (failureRate > FAILURE_RATE_HIGH) {
      return Math.min(1, pool.spillShare + SPILL_INCREASE);
    }
    if (failureRate < FAILURE_RATE_LOW || Double.isNaN(failureRate)) {
      double intervals = Math.floor(elapsed.ratioTo(EvaluationWindow.INTERVAL));
      return Math.max(0, pool.spillShare - SPILL_DECREASE * intervals);
    }
    return pool.spillShare;
  }

  /**
   * Updates the number of ready hosts of a pool. A pool that no longer has enough of them spills
   * everything.
   */
  void updateHosts(PoolState pool, Collection<HostDescriptor> hosts) {
    pool.readyHosts = (int) Layout.countReadyHosts(pool.definition, hosts);
    boolean available = pool.readyHosts >= pool.definition.minReadyHosts();
    if (!available && pool.available) {
      double before = pool.spillShare;
      pool.spillShare = 1;
      pool.available = false;
      if (pool.wasEverAvailable) {
        // Before the first host list no pool has hosts; that is not worth a report.
        logChange(pool, before, Double.NaN);
      }
    }
    if (available && !pool.wasEverAvailable) {
      pool.wasEverAvailable = true;
      pool.spillShare = 0;
    }
    pool.available = available;
  }

  private void logChange(PoolState pool, double before, double failureRate) {
    if (pool.definition.spillTo().isEmpty()) {
      return;
    }
    String name = pool.definition.name();
    if (before <= 0 && pool.spillShare > 0) {
      String reason =
          pool.available
              ? Math.round(100 * failureRate) + "% of its responses are failures"
              : pool.readyHosts
                  + " ready hosts, at least "
                  + pool.definition.minReadyHosts()
                  + " required";
      log.accept("pool " + name + " starts spilling to other pools: " + reason);
    } else if (before > 0 && pool.spillShare <= 0) {
      log.accept("pool " + name + " stops spilling: it serves all of its functions again");
    }
  }
}
