package flintlead.scheduling;

import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.state.AimdLimit;
import flintlead.scheduling.state.Attempt;
import flintlead.scheduling.state.Host;
import flintlead.scheduling.state.PeakRate;
import flintlead.scheduling.state.SchedulerState;
import flintlead.scheduling.state.SlidingWindowCounter;
import flintlead.scheduling.state.SpillBudget;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.time.TokenBucket;

/**
 * Limits on what hosts are sent: concurrency for each host, own loads in flight, slow start (rule
 * 4) and the rate of load orders (rule 5).
 */
final class CapacityLimits {

  /** As in the paper: a host that answered full is sent no load for this time. */
  static final Span FULL_BACKOFF = Span.ofMillis(1000);

  /**
   * Initial value and bounds of a host's concurrency limit, which counts this gateway's attempts
   * only.
   */
  private static final double INITIAL_CONCURRENCY = 4;

  private static final double MIN_CONCURRENCY_OF_ALL_GATEWAYS = 5;
  private static final double MAX_CONCURRENCY = 24;

  /**
   * Relative latency above which a concurrency limit is decreased. It is lower with many gateways,
   * because their limits rise and fall together.
   */
  private static final double TARGET_RELATIVE_LATENCY = 0.35;

  private static final double TARGET_RELATIVE_LATENCY_MANY_GATEWAYS = 0.27;
  private static final int MANY_GATEWAYS_THRESHOLD = 8;
  private static final double RELATIVE_LATENCY_WEIGHT = 0.1;
  private static final double LIMIT_DECREASE_FACTOR = 0.9;
  private static final double CONCURRENCY_INCREASE = 0.5;
  private static final double LOAD_LIMIT_INCREASE = 1;

  /**
   * Minimum time between decreases, in latency objectives: answers to earlier attempts must arrive
   * first.
   */
  private static final double MIN_DECREASE_INTERVAL_OBJECTIVES = 0.25;

  /** Initial value and minimum of the limit on this gateway's loads in flight. */
  private static final double INITIAL_LOAD_LIMIT = 16;

  private static final double MIN_LOAD_LIMIT = 4;

  /** Fraction that is used of this gateway's share of a warming host's budget. */
  private static final double SLOW_START_SHARE = 0.8;

  /**
   * Minimum time over which a rate is measured: over a shorter time, a few answers that arrive
   * close together would give too high a rate.
   */
  private static final Span MIN_RATE_WINDOW = Span.ofMillis(8000);

  private static final Span MAX_RATE_WINDOW = Span.ofMillis(300_000);
  private static final double MICROS_PER_SECOND = 1e6;

  private final SchedulerState state;
  private final Deployment deployment;
  private final double minConcurrency;
  private final double targetRelativeLatency;
  private final SlidingWindowCounter arrivals = new SlidingWindowCounter();
  private final SlidingWindowCounter loadOrders = new SlidingWindowCounter();
  private final PeakRate answers;
  private final AimdLimit loadLimit =
      new AimdLimit(INITIAL_LOAD_LIMIT, MIN_LOAD_LIMIT, Double.MAX_VALUE);

  private final SpillBudget spillBudget = new SpillBudget();

  CapacityLimits(SchedulerState state) {
    this.state = state;
    this.deployment = state.deployment;
    this.minConcurrency = Math.max(1, MIN_CONCURRENCY_OF_ALL_GATEWAYS / state.gateways);
    this.targetRelativeLatency =
        state.gateways < MANY_GATEWAYS_THRESHOLD
            ? TARGET_RELATIVE_LATENCY
            : TARGET_RELATIVE_LATENCY_MANY_GATEWAYS;
    this.answers = new PeakRate(state.now(), MIN_RATE_WINDOW, MAX_RATE_WINDOW);
  }

  /** Resets the limits of a host that is new or whose process has restarted. */
  void reset(Host host) {
    host.slowStartTokens = new TokenBucket(state.random.nextDouble());
    host.fullUntil = Moment.START;
    host.resetConcurrencyLimit(INITIAL_CONCURRENCY, minConcurrency, MAX_CONCURRENCY);
    host.relativeLatency = targetRelativeLatency / 2;
  }

  boolean hasCapacity(Host host) {
    return host.inFlight < host.concurrencyLimit.value();
  }

  /**
   * Adjusts the host's concurrency limit to the latency of its warm answers relative to the latency
   * objective.
   */
  void adjustConcurrencyLimit(Attempt attempt) {
    if (!attempt.warm || attempt.remark.loadInvolved()) {
      return;
    }
    Host host = attempt.host;
    Span objective = attempt.latencyObjective();
    double relative = Math.min(1, attempt.elapsed.ratioTo(objective));
    host.relativeLatency += RELATIVE_LATENCY_WEIGHT * (relative - host.relativeLatency);
    if (host.relativeLatency > targetRelativeLatency) {
      decrease(host.concurrencyLimit, host.inFlight + 1, objective);
    } else if (host.inFlight + 1 >= host.concurrencyLimit.value() - 1) {
      host.concurrencyLimit.increase(CONCURRENCY_INCREASE);
    }
  }

  private void decrease(AimdLimit limit, double inUse, Span objective) {
    Span interval = objective.times(MIN_DECREASE_INTERVAL_OBJECTIVES);
    limit.decrease(state.now(), interval, inUse, LIMIT_DECREASE_FACTOR);
  }

  /**
   * Pauses loads at a host that answered full, and lowers its concurrency limit to the attempts in
   * flight there.
   */
  void recordFull(Host host) {
    pauseLoads(host);
    host.concurrencyLimit.cap(host.inFlight);
  }

  void pauseLoads(Host host) {
    host.fullUntil = state.now().plus(FULL_BACKOFF);
  }

  boolean mayStartLoad() {
    return state.loadsInFlight < loadLimit.value();
  }

  /** Whether a function that is already loaded on some hosts may be loaded on one more. */
  boolean maySpill() {
    return spillBudget.isAvailable();
  }

  void recordSpill() {
    spillBudget.spend();
  }

  /**
   * Lowers the limit on own loads in flight after slow, refused or failed loads, and raises it
   * after fast ones. This limits the load on a slow store or on overloaded hosts. It is harmful
   * where every load takes longer than the latency objective.
   */
  void adjustLoadLimit(Attempt attempt) {
    if (attempt.warm) {
      return;
    }
    Span objective = attempt.latencyObjective();
    boolean ok = attempt.outcome == Outcome.OK;
    boolean slow = ok && attempt.elapsed.isLongerThan(objective);
    if (slow || attempt.outcome == Outcome.FULL || attempt.remark.loadFailed()) {
      decrease(loadLimit, loadLimit.value(), objective);
    } else if (ok && state.loadsInFlight + 1 >= loadLimit.value() - 1) {
      loadLimit.increase(LOAD_LIMIT_INCREASE);
    }
  }

  void recordSuccess() {
    spillBudget.deposit();
    answers.record(state.now());
  }

  /** Counts the attempt against the slow-start budget of its host if that is warming up. */
  void recordAttempt(Attempt attempt) {
    if (isWarmingUp(attempt.host)) {
      attempt.host.slowStartTokens.spend();
    }
  }

  /**
   * Rule 4: all gateways together send a warming host no more than it can serve, provided that each
   * gateway keeps to its share.
   *
   * <p>The rate of successful answers that this gateway gets from an average host is a lower bound
   * of its share of a warm host's rate. The rate of attempts is not used, because it would grow
   * without bound when everything fails. Shares below one attempt accumulate from a random initial
   * level, so that the sum over many gateways stays within the limit.
   */
  boolean slowStartAllows(Host host) {
    if (!isWarmingUp(host)) {
      return true;
    }
    Moment now = state.now();
    double elapsedFraction = now.since(startedAt(host)).ratioTo(deployment.slowStartDuration());
    double initial = deployment.slowStartFraction();
    double fraction = initial + (1 - initial) * Math.max(0, elapsedFraction);
    double perHost = answers.perSecond() / Math.max(1, state.hosts.listed().length);
    double perSecond = SLOW_START_SHARE * deployment.overloadFactor() * fraction * perHost;
    double burst = perSecond * deployment.overloadWindow().micros() / (2 * MICROS_PER_SECOND);
    return host.slowStartTokens.refill(now, perSecond, Math.max(1, burst));
  }

  private boolean isWarmingUp(Host host) {
    Moment startedAt = startedAt(host);
    return startedAt.micros() > 0
        && state.now().since(startedAt).isShorterThan(deployment.slowStartDuration());
  }

  /**
   * When the host's process started: by the host list or, if the process may have restarted while
   * the list was stale, the latest time at which it may have.
   */
  private Moment startedAt(Host host) {
    return Moment.later(
        host.entry.startedAt(), state.leases.latestPossibleStart(host.id(), state.now()));
  }

  void recordArrival(Moment now) {
    arrivals.add(now);
    arrivals.countSince(now.minus(deployment.loadOrderWindow()));
  }

  void recordLoadOrder() {
    loadOrders.add(state.now());
  }

  /** Rule 5: whether one more load order stays within the rate limit. */
  boolean mayOrderLoad() {
    Moment windowStart = state.now().minus(deployment.loadOrderWindow());
    double share = deployment.loadOrderShare() * arrivals.countSince(windowStart);
    double allowed = deployment.loadOrderBurst() + share;
    boolean unlimited = deployment.loadOrderWindow().micros() <= 0;
    return deployment.supportsLoadOrders()
        && (unlimited || loadOrders.countSince(windowStart) + 1 <= allowed);
  }
}
