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
 * Where an invocation goes: the warm search over all hosts, the hash walk for a load, and over how
 * many hosts a function is spread. Departures from the paper are marked, each with its reason.
 */
final class Placement {

  /** Concurrency of a function aimed at per host, and the largest changes of its replicas. */
  private static final double TARGET_CONCURRENCY = 3;

  private static final double MAX_SPREAD_INCREASE = 2;
  private static final double MAX_SPREAD_DECREASE = 0.8;

  /** A replica target that changed by this factor is gossiped, after a delay, to some peers. */
  private static final double GOSSIP_CHANGE_FACTOR = 2;

  private static final Span GOSSIP_DELAY = Span.ofMillis(300);
  private static final int GOSSIP_FANOUT = 3;

  /** Until answers are measured, a warm one takes this share of the shortest objective. */
  private static final double INITIAL_WARM_RESPONSE = 0.2;

  private static final double WARM_RESPONSE_WEIGHT = 0.02;

  /** A load in flight is joined until it has taken this multiple of the usual time. */
  private static final double MAX_LOAD_FACTOR = 2.0;

  /** A typical load where the invocation does not say. */
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
    this.warmResponseTime = state.deployment.shortestObjective().times(INITIAL_WARM_RESPONSE);
  }

  /** What a warm answer takes on average. */
  Span warmResponseTime() {
    return warmResponseTime;
  }

  /**
   * Paper: the host believed warm and with capacity that has fewest own in flight, ties at random.
   * Departure: while the host list is out of date, hosts whose lease holds go before those that
   * need a probe first. Departure: of a function spread over several hosts each takes its part
   * only, by chance, as one gateway sees too little traffic to fill a host and learn that another
   * is needed.
   */
  Host warmHost(InvocationState invocation) {
    Moment now = state.now();
    double part = 1 / invocation.function.replicaTarget;
    double parts = 0;
    Host best = null;
    int ties = 0;
    for (InstanceEstimate estimate : invocation.function.estimates) {
      Host host = estimate.host;
      if (!hasFreeSlot(invocation, estimate, now)
          || !capacity.hasCapacity(host)
          || !usable(invocation, host)) {
        continue;
      }
      parts += part;
      double difference = best == null ? -1 : compare(host, best);
      ties = difference < 0 ? 1 : ties + (difference == 0 ? 1 : 0);
      if (difference < 0 || difference == 0 && state.random.nextInt(ties) == 0) {
        best = host;
      }
    }
    invocation.hostsToSkip = Math.max(0, (invocation.placementDraw - parts) / part);
    boolean takesPart = invocation.placementDraw < parts || !capacity.maySpill();
    return takesPart ? best : null;
  }

  private boolean hasFreeSlot(InvocationState invocation, InstanceEstimate estimate, Moment now) {
    return believedInstances(estimate) > 0
        && !estimate.host.fullUntil.isAfter(now)
        && estimate.inFlight < invocation.slotsPerInstance * estimate.instances;
  }

  /** Negative where the first host is the better one. */
  private double compare(Host one, Host other) {
    boolean proven = state.leases.holds(one.id(), state.now());
    boolean otherProven = state.leases.holds(other.id(), state.now());
    return proven == otherProven ? compareLoad(one, other) : proven ? -1 : 1;
  }

  /** Departure: attempts in flight relative to the weight of the host, as weights differ. */
  private static double compareLoad(Host one, Host other) {
    return one.inFlight * other.entry.weight() - other.inFlight * one.entry.weight();
  }

  /** Departure: queue when an own slot or load comes free sooner than a further load would end. */
  boolean slotFreeSoon(InvocationState invocation) {
    Moment now = state.now();
    Span loadTime = loadTime(invocation);
    double slots = 0;
    Span first = loadTime;
    for (InstanceEstimate estimate : invocation.function.estimates) {
      if (!usable(invocation, estimate.host)) {
        continue;
      }
      Span loadingFor = now.since(estimate.loadingSince);
      if (believedInstances(estimate) > 0
          && (estimate.inFlight > 0 || !capacity.hasCapacity(estimate.host))) {
        slots += invocation.slotsPerInstance * estimate.instances;
        first = Span.ZERO;
      } else if (estimate.loadsInFlight > 0 && loadingFor.isShorterThan(longestLoad(invocation))) {
        slots += invocation.slotsPerInstance;
        first = Span.shorter(first, Span.longer(Span.ZERO, loadTime.minus(loadingFor)));
      }
    }
    double turns = (invocation.function.queued + 1) / Math.max(1, slots);
    Span wait = first.plus(warmResponseTime.times(turns));
    return slots > 0
        && wait.isShorterThan(loadTime)
        && now.plus(wait).isBefore(invocation.queueUntil);
  }

  /** Paper: the hash walk over the hosts from the function's home, the same from all gateways. */
  Host firstHostOnWalk(InvocationState invocation) {
    if (!capacity.mayStartLoad() || !capacity.maySpill() && isWarmSomewhere(invocation)) {
      return null;
    }
    double toSkip = invocation.hostsToSkip;
    Host last = null;
    for (Host host : invocation.function.hashWalk(state.hosts.listed())) {
      if (usable(invocation, host) && capacity.hasCapacity(host) && mayLoad(invocation, host)) {
        last = host;
        if (toSkip-- < 1) {
          return host;
        }
      }
    }
    return last;
  }

  /** Whether a host that the invocation could go to is believed to have its function loaded. */
  boolean isWarmSomewhere(InvocationState invocation) {
    for (InstanceEstimate estimate : invocation.function.estimates) {
      if (believedInstances(estimate) > 0 && usable(invocation, estimate.host)) {
        return true;
      }
    }
    return false;
  }

  private boolean mayLoad(InvocationState invocation, Host host) {
    InstanceEstimate estimate = invocation.function.estimateAt(host);
    return !state.now().isBefore(host.fullUntil)
        && (estimate == null || estimate.loadsInFlight == 0 && believedInstances(estimate) == 0)
        && state.loadOrders.find(host, invocation.function.id) == null;
  }

  /** Whether the rules, the host's health and the invocation's own attempts allow one there now. */
  private boolean usable(InvocationState invocation, Host host) {
    return rules.acceptsNewWork(host)
        && !health.isEjected(host)
        && !invocation.wasTried(host)
        && rules.mayAttempt(invocation, host)
        && capacity.slowStartAllows(host);
  }

  /** How long a load by this invocation usually takes. */
  private static Span loadTime(InvocationState invocation) {
    Span hint = invocation.spec.loadHint();
    return hint.micros() > 0 ? hint : DEFAULT_LOAD_TIME;
  }

  /** After this time a load by this invocation is no longer expected to end. */
  static Span longestLoad(InvocationState invocation) {
    return loadTime(invocation).times(MAX_LOAD_FACTOR);
  }

  /** An estimate expires after the configured keep-alive without use. */
  private int believedInstances(InstanceEstimate estimate) {
    return estimate.instances(state.now(), state.deployment.instanceKeepAlive());
  }

  void recordLoad(long function, Host host, int atLeast) {
    recordInstances(state.functions.getOrCreate(function).getOrCreateEstimate(host), atLeast);
  }

  private void recordInstances(InstanceEstimate estimate, int atLeast) {
    estimate.observe(Math.max(believedInstances(estimate), atLeast), state.now());
  }

  void recordSuccess(Attempt attempt) {
    InstanceEstimate estimate = attempt.estimate;
    boolean oneMore = attempt.remark.loadStarted() && believedInstances(estimate) > 0;
    recordInstances(estimate, oneMore ? estimate.instances + 1 : 1);
    if (attempt.warm) {
      Span before = warmResponseTime.times(1 - WARM_RESPONSE_WEIGHT);
      warmResponseTime = before.plus(attempt.elapsed.times(WARM_RESPONSE_WEIGHT));
    }
  }

  /** Departure: a peer's observation makes an estimate where this gateway has none of its own. */
  void mergeObservation(long hostId, long functionId, int instances, Span age) {
    Host host = state.hosts.find(hostId);
    if (host == null) {
      return;
    }
    FunctionState function = state.functions.getOrCreate(functionId);
    InstanceEstimate known = function.estimateAt(host);
    Moment seenAt = state.now().minus(age);
    if (rules.acceptsNewWork(host)
        && age.isShorterThan(state.deployment.instanceKeepAlive())
        && seenAt.isAfter(host.entry.startedAt())
        && (known == null || known.learnedFromPeer && seenAt.isAfter(known.lastUsedAt))) {
      function.getOrCreateEstimate(host).learn(instances, seenAt);
    }
  }

  /** Departure: a function with many in flight at a host is spread over more hosts of the walk. */
  void recordConcurrency(Attempt attempt) {
    boolean full = attempt.outcome == Outcome.FULL;
    if (!state.deployment.reportsConcurrency()
        || attempt.remark.loadInvolved()
        || attempt.outcome != Outcome.OK && !full) {
      return;
    }
    double concurrency = (full ? TARGET_CONCURRENCY : 1) + attempt.remark.concurrency();
    FunctionState function = attempt.invocation.function;
    double change = concurrency / TARGET_CONCURRENCY;
    double bounded = Math.max(MAX_SPREAD_DECREASE, Math.min(MAX_SPREAD_INCREASE, change));
    setReplicaTarget(function, function.replicaTarget * bounded);
  }

  private void setReplicaTarget(FunctionState function, double target) {
    function.replicaTarget = Math.max(1, Math.min(state.hosts.listed().length, target));
    gossip.offer(function, GOSSIP_CHANGE_FACTOR, GOSSIP_DELAY, GOSSIP_FANOUT);
  }

  void mergeGossip(byte[] message) {
    SpreadGossipCodec.decode(
        message, (id, target) -> setReplicaTarget(state.functions.getOrCreate(id), target));
  }
}
