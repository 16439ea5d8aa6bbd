package flintlead.scheduling.lease;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.time.TokenBucket;

/** What one gateway knows of one host without the host list. */
final class HostLease {

  /** After a denied or unanswered probe the host is left alone; doubled with each in a row. */
  private static final Span FIRST_PROBE_PAUSE = Span.ofMillis(400);

  private static final int MAX_PAUSE_DOUBLINGS = 3;

  /** Probes to a host that may be saved up. */
  private static final double PROBE_BURST = 2;

  private final LeaseTerms terms;
  private final TokenBucket probes = new TokenBucket(PROBE_BURST);

  /** When the latest proof was asked for; null where there is none. */
  private Moment provenAt;

  /** Proofs asked for before that are void; null where all count. */
  private Moment unreachableAt;

  /** The first proof since the host could not be reached; null where there is none. */
  private Moment provenAgainAt;

  private Moment pausedUntil = Moment.START;
  private int failedProbes;
  private boolean probing;

  /** Whether the host was last found usable; null before it was found either way. */
  private Boolean reportedUsable;

  HostLease(LeaseTerms terms) {
    this.terms = terms;
  }

  /** Renews the lease from when the proof was asked for; returns whether the proof counts. */
  boolean prove(Moment askedAt) {
    if (unreachableAt != null && !askedAt.isAfter(unreachableAt)) {
      return false;
    }
    provenAt = provenAt == null ? askedAt : Moment.later(provenAt, askedAt);
    if (unreachableAt != null && provenAgainAt == null) {
      provenAgainAt = askedAt;
    }
    failedProbes = 0;
    pausedUntil = Moment.START;
    return true;
  }

  /** Ends the lease: only a new proof renews it. */
  void end() {
    provenAt = null;
  }

  /** Ends the lease, as another process may live there later. */
  void unreachable(Moment at) {
    end();
    unreachableAt = at;
    provenAgainAt = null;
  }

  boolean holds(Moment now) {
    return provenAt != null && now.isBefore(provenAt.plus(terms.duration()));
  }

  /** When it could last not be reached; null where it always could. */
  Moment unreachableAt() {
    return unreachableAt;
  }

  /** The first proof since then; null where there is none. */
  Moment provenAgainAt() {
    return provenAgainAt;
  }

  // ---- probes ----

  boolean isProbing() {
    return probing;
  }

  boolean isPaused(Moment now) {
    return now.isBefore(pausedUntil);
  }

  boolean hasProbeLeft(Moment now) {
    return probes.refill(now, terms.probesPerSecond(), PROBE_BURST);
  }

  void probeSent() {
    probing = true;
    probes.spend();
  }

  void probeEnded() {
    probing = false;
  }

  /** The probe that has just ended proved nothing. */
  void probeFailed(Moment now) {
    end();
    int doublings = Math.min(failedProbes++, MAX_PAUSE_DOUBLINGS);
    pausedUntil = now.plus(FIRST_PROBE_PAUSE.times(1L << doublings));
  }

  /** The list speaks for the host again. */
  void listCurrent() {
    reportedUsable = null;
    failedProbes = 0;
    pausedUntil = Moment.START;
  }

  /** Notes what the host was found to be; returns whether that is news. */
  boolean isNews(boolean usable) {
    boolean news = reportedUsable == null ? !usable : reportedUsable != usable;
    reportedUsable = usable;
    return news;
  }
}
