package flintlead.scheduling;

import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.state.Attempt;
import flintlead.scheduling.state.FunctionState;
import flintlead.scheduling.state.Host;
import flintlead.scheduling.state.InstanceEstimate;
import flintlead.scheduling.state.InvocationState;
import flintlead.scheduling.state.SchedulerState;
import flintlead.scheduling.state.SpreadGossip;
import flintlead.scheduling.state.SpreadGossipCodec;
import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * Chooses the host of an invocation: a warm host if possible, otherwise a host on the function's
 * hash walk that loads the function. Also decides over how many hosts a function is spread.
 *
 * <p>The algorithm follows the paper. Departures from it are marked, each with its reason.
 */
final class Placement {

  /**
   * Target concurrency of a function at each host, and the bounds of the factor by which one answer
   * changes the function's replica target.
   */
  private static final double TARGET_CONCURRENCY = 3;

  private static final double MAX_REPLICA_CHANGE_FACTOR = 2;
  private static final double MIN_REPLICA_CHANGE_FACTOR = 0.8;

  /** A replica target that has changed by this factor is gossiped to some peers after a delay. */
  private static final double GOSSIP_CHANGE_FACTOR = 2;

  private static final Span GOSSIP_DELAY = Span.ofMillis(300);
  private static final int GOSSIP_FANOUT = 3;

  /**
   * Initial estimate of the warm response time, as a share of the shortest latency objective; used
   * until answers are measured.
   */
  private static final double INITIAL_WARM_RESPONSE_SHARE = 0.2;

  private static final double WARM_RESPONSE_WEIGHT = 0.02;

  /**
   * Invocations wait for a load in flight until it has taken this multiple of its expected time.
   */
  private static final double MAX_LOAD_TIME_FACTOR = 2.0;

  /** Expected load time if the invocation gives no hint. */
  private static final Span DEFAULT_LOAD_TIME = Span.ofMillis(800);

  private final SchedulerState state;
  private final AttemptRules rules;
  private final HostHealth health;
  private final CapacityLimits capacity;
  private final SpreadGossip gossip;
  private Span warmResponseTime;

  Placement(SchedulerState state, AttemptRules rules, HostHealth health, CapacityLimits capacity) {
    this.state = state;
    this.rules = rules;
    this.health = health;
    this.capacity = capacity;
    this.gossip = new SpreadGossip(state);
    this.warmResponseTime = state.deployment.shortestObjective().times(INITIAL_WARM_RESPONSE_SHARE);
  }

  /** Returns the moving average of the response time of warm instances. */
  Span warmResponseTime() {
    return warmResponseTime;
  }

  /**
   * Returns the host for a warm start; null if a further host is to load the function, or no host
   * is warm and has capacity.
   *
   * <p>As in the paper, this is the host believed to be warm, with capacity and the fewest own
   * attempts in flight; ties are broken at random. Departure: while the host list is out of date,
   * hosts with a valid lease take precedence over hosts that need a probe first. Departure: of a
   * function spread over several hosts, each host takes only its share, decided by a random draw,
   * because one gateway sees too little traffic to fill a host and so to learn that another is
   * needed.
   */
  Host warmHost(InvocationState invocation) {
    Moment now = state.now();
    double sharePerHost = 1 / invocation.function.replicaTarget;
    double warmShare = 0;
    Host best = null;
    int ties = 0;
    for (InstanceEstimate estimate : invocation.function.estimates) {
      Host host = estimate.host;
      if (!hasFreeSlot(invocation, estimate, now)
          || !capacity.hasCapacity(host)
          || !usable(invocation, host)) {
        continue;
      }
      warmShare += sharePerHost;
      double difference = best == null ? -1 : compare(host, best);
      ties = difference < 0 ? 1 : ties + (difference == 0 ? 1 : 0);
      if (difference < 0 || difference == 0 && state.random.nextInt(ties) == 0) {
        best = host;
      }
    }
    invocation.hostsToSkip = Math.max(0, (invocation.placementDraw - warmShare) / sharePerHost);
    boolean usesWarmHost = invocation.placementDraw < warmShare || !capacity.maySpill();
    return usesWarmHost ? best : null;
  }

  private boolean hasFreeSlot(InvocationState invocation, InstanceEstimate estimate, Moment now) {
    return estimatedInstances(estimate) > 0
        && !estimate.host.fullUntil.isAfter(now)
        && estimate.inFlight < invocation.slotsPerInstance * estimate.instances;
  }

  /** Returns a negative number if the first host is the better one. */
  private double compare(Host one, Host other) {
    boolean leaseHolds = state.leases.hasLease(one.id(), state.now());
    boolean otherLeaseHolds = state.leases.hasLease(other.id(), state.now());
    return leaseHolds == otherLeaseHolds ? compareLoad(one, other) : leaseHolds ? -1 : 1;
  }

  /**
   * Departure: compares the attempts in flight relative to the hosts' weights, as weights differ.
   */
  private static double compareLoad(Host one, Host other) {
    return one.inFlight * other.entry.weight() - other.inFlight * one.entry.weight();
  }

  /**
   * Departure: whether to queue the invocation, because an own slot or load becomes free before a
   * further load would complete.
   */
  boolean isSlotFreeSoon(InvocationState invocation) {
    Moment now = state.now();
    Span loadTime = loadTime(invocation);
    double slots = 0;
    Span firstFreeIn = loadTime;
    for (InstanceEstimate estimate : invocation.function.estimates) {
      if (!usable(invocation, estimate.host)) {
        continue;
      }
      Span loadingFor = now.since(estimate.loadingSince);
      if (estimatedInstances(estimate) > 0
          && (estimate.inFlight > 0 || !capacity.hasCapacity(estimate.host))) {
        slots += invocation.slotsPerInstance * estimate.instances;
        firstFreeIn = Span.ZERO;
      } else if (estimate.loadsInFlight > 0 && loadingFor.isShorterThan(maxLoadTime(invocation))) {
        slots += invocation.slotsPerInstance;
        firstFreeIn = Span.shorter(firstFreeIn, Span.longer(Span.ZERO, loadTime.minus(loadingFor)));
      }
    }
    double rounds = (invocation.function.queued + 1) / Math.max(1, slots);
    Span wait = firstFreeIn.plus(warmResponseTime.times(rounds));
    return slots > 0
        && wait.isShorterThan(loadTime)
        && now.plus(wait).isBefore(invocation.queueUntil);
  }

  /**
   * Returns the host that is to load the function; null if there is none. As in the paper, it is
   * searched for along the hash walk, which begins at the function's home and is the same at all
   * gateways.
   */
  Host hostForLoad(InvocationState invocation) {
    if (!capacity.mayStartLoad() || !capacity.maySpill() && isWarmSomewhere(invocation)) {
      return null;
    }
    double toSkip = invocation.hostsToSkip;
    Host last = null;
    for (Host host : state.hashWalks.walk(invocation.function.id, state.hosts.listed())) {
      if (usable(invocation, host) && capacity.hasCapacity(host) && mayLoad(invocation, host)) {
        last = host;
        if (toSkip-- < 1) {
          return host;
        }
      }
    }
    return last;
  }

  /**
   * Whether some host that the invocation may be sent to is believed to have its function loaded.
   */
  boolean isWarmSomewhere(InvocationState invocation) {
    for (InstanceEstimate estimate : invocation.function.estimates) {
      if (estimatedInstances(estimate) > 0 && usable(invocation, estimate.host)) {
        return true;
      }
    }
    return false;
  }

  private boolean mayLoad(InvocationState invocation, Host host) {
    InstanceEstimate estimate = invocation.function.estimateAt(host);
    return !state.now().isBefore(host.fullUntil)
        && (estimate == null || estimate.loadsInFlight == 0 && estimatedInstances(estimate) == 0)
        && state.loadOrders.find(host, invocation.function.id) == null;
  }

  /**
   * Whether the rules, the state of the host and the invocation's earlier attempts allow an attempt
   * there now.
   */
  private boolean usable(InvocationState invocation, Host host) {
    return rules.acceptsNewWork(host)
        && !health.isEjected(host)
        && !invocation.wasTried(host)
        && rules.mayAttempt(invocation, host)
        && capacity.slowStartAllows(host);
  }

  /** Returns the expected time of a load for the invocation. */
  private static Span loadTime(InvocationState invocation) {
    Span hint = invocation.spec.loadHint();
    return hint.micros() > 0 ? hint : DEFAULT_LOAD_TIME;
  }

  /** Returns the time after which a load for the invocation is no longer expected to complete. */
  static Span maxLoadTime(InvocationState invocation) {
    return loadTime(invocation).times(MAX_LOAD_TIME_FACTOR);
  }

  /**
   * Returns the estimated number of loaded instances. The estimate expires after the configured
   * keep-alive time without use.
   */
  private int estimatedInstances(InstanceEstimate estimate) {
    return estimate.instances(state.now(), state.deployment.instanceKeepAlive());
  }

  void recordLoad(long function, Host host, int atLeast) {
    FunctionState loaded = state.functions.getOrCreate(function);
    recordInstances(state.functions.getOrCreateEstimate(loaded, host), atLeast);
  }

  private void recordInstances(InstanceEstimate estimate, int atLeast) {
    estimate.observe(Math.max(estimatedInstances(estimate), atLeast), state.now());
  }

  void recordSuccess(Attempt attempt) {
    InstanceEstimate estimate = attempt.estimate;
    boolean additional = attempt.remark.loadStarted() && estimatedInstances(estimate) > 0;
    recordInstances(estimate, additional ? estimate.instances + 1 : 1);
    if (attempt.warm) {
      Span before = warmResponseTime.times(1 - WARM_RESPONSE_WEIGHT);
      warmResponseTime = before.plus(attempt.elapsed.times(WARM_RESPONSE_WEIGHT));
    }
  }

  /**
   * Departure: takes a peer's observation as the estimate where this gateway has observed nothing
   * itself.
   */
  void mergeObservation(long hostId, long functionId, int instances, Span age) {
    Host host = state.hosts.find(hostId);
    if (host == null) {
      return;
    }
    FunctionState function = state.functions.getOrCreate(functionId);
    InstanceEstimate existing = function.estimateAt(host);
    Moment seenAt = state.now().minus(age);
    if (rules.acceptsNewWork(host)
        && age.isShorterThan(state.deployment.instanceKeepAlive())
        && seenAt.isAfter(host.entry.startedAt())
        && (existing == null || existing.learnedFromPeer && seenAt.isAfter(existing.lastUsedAt))) {
      state.functions.getOrCreateEstimate(function, host).learn(instances, seenAt);
    }
  }

  /**
   * Departure: adjusts the function's replica target to the concurrency that the host reported, so
   * that a function with many invocations in flight at a host is spread over more hosts of the
   * walk.
   */
  void recordConcurrency(Attempt attempt) {
    boolean full = attempt.outcome == Outcome.FULL;
    if (!state.deployment.reportsConcurrency()
        || attempt.remark.loadInvolved()
        || attempt.outcome != Outcome.OK && !full) {
      return;
    }
    double concurrency = (full ? TARGET_CONCURRENCY : 1) + attempt.remark.concurrency();
    FunctionState function = attempt.invocation.function;
    double changeFactor = concurrency / TARGET_CONCURRENCY;
    double boundedFactor =
        Math.max(MIN_REPLICA_CHANGE_FACTOR, Math.min(MAX_REPLICA_CHANGE_FACTOR, changeFactor));
    setReplicaTarget(function, function.replicaTarget * boundedFactor);
  }

  private void setReplicaTarget(FunctionState function, double target) {
    function.replicaTarget = Math.max(1, Math.min(state.hosts.listed().length, target));
    gossip.scheduleIfChanged(function, GOSSIP_CHANGE_FACTOR, GOSSIP_DELAY, GOSSIP_FANOUT);
  }

  void mergeGossip(byte[] message) {
    SpreadGossipCodec.decode(
        message, (id, target) -> setReplicaTarget(state.functions.getOrCreate(id), target));
  }
}
