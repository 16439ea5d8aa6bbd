package flintlead.scheduling.lease;

import flintlead.time.Span;

/**
 * Durations and limits of leases, derived from the deployment's settings.
 *
 * @param drainGrace how long a draining host may still be sent new work after the gateway counts as
 *     notified
 * @param silence how long after the last confirmation of the host list the gateway counts as
 *     notified of all changes
 * @param probesAllowed whether hosts may be sent probes
 * @param gateways how many gateways share the probes that a host may be sent
 */
public record LeaseTerms(Span drainGrace, Span silence, boolean probesAllowed, int gateways) {

  /**
   * Share of the drain grace period that a lease lasts; the rest is for the transmission to the
   * host.
   */
  private static final double LEASE_SHARE = 0.8;

  /**
   * This long after its connection to discovery broke, a gateway counts as notified of all changes.
   */
  private static final Span TOLD_AFTER_BREAK = Span.ofMillis(2_000);

  /** This long after discovery went silent, a gateway counts as notified of all changes. */
  private static final Span TOLD_AFTER_SILENCE = Span.ofMillis(4_000);

  /** Most probes that all gateways together send a host each second. */
  private static final double PROBES_PER_HOST_AND_SECOND = 12;

  /** Most probes that one gateway sends a host each second, however few gateways there are. */
  private static final double MAX_OWN_PROBES_PER_SECOND = 2;

  /** Creates terms for a discovery service that sends a heartbeat each second. */
  public LeaseTerms(Span drainGrace, boolean probesAllowed, int gateways) {
    this(drainGrace, TOLD_AFTER_SILENCE, probesAllowed, gateways);
  }

  /** How long a lease lasts after the request of its proof was sent. */
  Span duration() {
    return drainGrace.times(LEASE_SHARE);
  }

  /** How long the list renews the leases of all its hosts after it was last confirmed. */
  Span afterConfirmation() {
    return silence.plus(duration());
  }

  /**
   * How long the list renews the leases of all its hosts after the connection to discovery broke.
   */
  Span afterBreak() {
    return TOLD_AFTER_BREAK.plus(duration());
  }

  /** Returns how many probes this gateway may send to one host each second. */
  double probesPerSecond() {
    return Math.min(MAX_OWN_PROBES_PER_SECOND, PROBES_PER_HOST_AND_SECOND / Math.max(1, gateways));
  }
}
