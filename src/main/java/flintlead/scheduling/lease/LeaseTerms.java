package flintlead.scheduling.lease;

import flintlead.time.Span;

/**
 * What the deployment's settings mean for leases.
 *
 * @param drainGrace how long new work may still be sent to a host that drains, from when the
 *     gateway counts as notified
 * @param silence how long a list is taken for current of which nothing was heard
 * @param probesAllowed whether hosts may be sent probes
 * @param gateways how many gateways share the probes that a host bears
 */
public record LeaseTerms(Span drainGrace, Span silence, boolean probesAllowed, int gateways) {

  /** Part of the grace that a lease lasts: the rest is for the way to the host. */
  private static final double LEASE_SHARE = 0.8;

  /** Discovery that breaks off counts as having told everything after this time. */
  private static final Span TOLD_AFTER_BREAK = Span.ofMillis(2_000);

  /** Discovery that went silent counts as having told everything after this time. */
  private static final Span TOLD_AFTER_SILENCE = Span.ofMillis(4_000);

  /** Probes that a host bears from all gateways together, each second. */
  private static final double PROBES_PER_HOST_AND_SECOND = 12;

  /** No gateway sends one host more probes a second, however few gateways there are. */
  private static final double MAX_OWN_PROBES_PER_SECOND = 2;

  /** Terms of a discovery that says each second that it is there. */
  public LeaseTerms(Span drainGrace, boolean probesAllowed, int gateways) {
    this(drainGrace, TOLD_AFTER_SILENCE, probesAllowed, gateways);
  }

  /** How long a lease holds from when the host's proof was asked for. */
  Span duration() {
    return drainGrace.times(LEASE_SHARE);
  }

  /** How long the list renews the leases of all its hosts after it was last confirmed. */
  Span afterConfirmation() {
    return silence.plus(duration());
  }

  /** How long it still does so after the connection to discovery broke. */
  Span afterBreak() {
    return TOLD_AFTER_BREAK.plus(duration());
  }

  /** The probes that this gateway may send to one host each second. */
  double probesPerSecond() {
    return Math.min(MAX_OWN_PROBES_PER_SECOND, PROBES_PER_HOST_AND_SECOND / Math.max(1, gateways));
  }
}
