package flintlead.scheduling.lease;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.time.TokenBucket;

/** The lease of one host, and the probes that can renew it while the host list is not current. */
final class HostLease {

  /** Backoff after a denied or unanswered probe, doubled with each consecutive one. */
  private static final Span INITIAL_PROBE_BACKOFF = Span.ofMillis(400);

  private static final int MAX_BACKOFF_DOUBLINGS = 3;

  /** Most probes to a host that may accumulate in its token bucket. */
  private static final double PROBE_BURST = 2;

  private final LeaseTerms terms;
  private final TokenBucket probes = new TokenBucket(PROBE_BURST);

  /** When the request of the latest proof was sent; null if there is no proof. */
  private Moment provenAt;

  /**
   * When the host was last found unreachable; proofs whose requests were sent by then are void.
   * Null if it never was.
   */
  private Moment unreachableAt;

  /** When the request of the first proof after that was sent; null if there is none. */
  private Moment reachableAgainAt;

  private Moment backoffUntil = Moment.START;
  private int failedProbes;
  private boolean probing;

  /** Whether the host was last recorded as usable; null if nothing was recorded. */
  private Boolean lastUsable;

  HostLease(LeaseTerms terms) {
    this.terms = terms;
  }

  /**
   * Renews the lease from the time at which the request of a proof was sent; returns false if the
   * proof is void.
   */
  boolean renew(Moment askedAt) {
    if (unreachableAt != null && !askedAt.isAfter(unreachableAt)) {
      return false;
    }
    provenAt = provenAt == null ? askedAt : Moment.later(provenAt, askedAt);
    if (unreachableAt != null && reachableAgainAt == null) {
      reachableAgainAt = askedAt;
    }
    failedProbes = 0;
    backoffUntil = Moment.START;
    return true;
  }

  /** Ends the lease until a new proof renews it. */
  void end() {
    provenAt = null;
  }

  /**
   * Ends the lease and voids the proofs requested by then, as another process may run at the host's
   * address later.
   */
  void markUnreachable(Moment at) {
    end();
    unreachableAt = at;
    reachableAgainAt = null;
  }

  boolean holds(Moment now) {
    return provenAt != null && now.isBefore(provenAt.plus(terms.leaseDuration()));
  }

  /** Returns when the host was last found unreachable; null if it never was. */
  Moment unreachableAt() {
    return unreachableAt;
  }

  /** Returns when the request of the first proof after that was sent; null if there is none. */
  Moment reachableAgainAt() {
    return reachableAgainAt;
  }

  // ---- probes ----

  boolean isProbing() {
    return probing;
  }

  boolean isBackingOff(Moment now) {
    return now.isBefore(backoffUntil);
  }

  boolean hasProbeToken(Moment now) {
    return probes.refill(now, terms.probesPerSecond(), PROBE_BURST);
  }

  void probeSent() {
    probing = true;
    probes.spend();
  }

  void probeEnded() {
    probing = false;
  }

  /** Ends the lease and begins a backoff, after a probe that proved nothing. */
  void probeFailed(Moment now) {
    end();
    int doublings = Math.min(failedProbes++, MAX_BACKOFF_DOUBLINGS);
    backoffUntil = now.plus(INITIAL_PROBE_BACKOFF.times(1L << doublings));
  }

  /** Clears the recorded state and the probe failures, as the host list is current again. */
  void clearProbeHistory() {
    lastUsable = null;
    failedProbes = 0;
    backoffUntil = Moment.START;
  }

  /**
   * Records whether the host is usable; returns whether that is a change. Before the first record
   * it counts as usable.
   */
  boolean recordUsable(boolean usable) {
    boolean changed = lastUsable == null ? !usable : lastUsable != usable;
    lastUsable = usable;
    return changed;
  }
}
