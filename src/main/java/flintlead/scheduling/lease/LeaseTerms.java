package flintlead.scheduling.lease;

import flintlead.time.Span;

/**
 * Durations and limits of leases, derived from the deployment's settings.
 *
 * @param drainGrace how long a draining host may still be sent new work after the gateway counts as
 *     notified
 * @param silenceTimeout how long after the last confirmation of the host list the gateway counts as
 *     notified of all changes
 * @param probesAllowed whether hosts may be sent probes
 * @param gateways how many gateways share the probes that a host may be sent
 */
public record LeaseTerms(
    Span drainGrace, Span silenceTimeout, boolean probesAllowed, int gateways) {

  /**
   * Share of the drain grace period that a lease lasts; the rest is for the transmission to the
   * host.
   */
  private static final double LEASE_SHARE = 0.8;

  /**
   * This long after its connection to discovery broke, a gateway counts as notified of all changes.
   */
  private static final Span NOTIFIED_AFTER_BREAK = Span.ofMillis(2_000);

  /** This long after discovery went silent, a gateway counts as notified of all changes. */
  private static final Span NOTIFIED_AFTER_SILENCE = Span.ofMillis(4_000);

  /** Most probes that all gateways together send a host each second. */
  private static final double MAX_PROBES_PER_HOST_PER_SECOND = 12;

  /** Most probes that one gateway sends a host each second, however few gateways there are. */
  private static final double MAX_PROBES_PER_GATEWAY_PER_SECOND = 2;

  /** Creates terms for a discovery service that sends a heartbeat each second. */
  public LeaseTerms(Span drainGrace, boolean probesAllowed, int gateways) {
    this(drainGrace, NOTIFIED_AFTER_SILENCE, probesAllowed, gateways);
  }

  /** How long a lease lasts after the request of its proof was sent. */
  Span leaseDuration() {
    return drainGrace.times(LEASE_SHARE);
  }

  /** How long the list renews the leases of all its hosts after it was last confirmed. */
  Span validAfterConfirmation() {
    return silenceTimeout.plus(leaseDuration());
  }

  /**
   * How long the list renews the leases of all its hosts after the connection to discovery broke.
   */
  Span validAfterBreak() {
    return NOTIFIED_AFTER_BREAK.plus(leaseDuration());
  }

  /** Returns how many probes this gateway may send to one host each second. */
  double probesPerSecond() {
    return Math.min(
        MAX_PROBES_PER_GATEWAY_PER_SECOND, MAX_PROBES_PER_HOST_PER_SECOND / Math.max(1, gateways));
  }
}
