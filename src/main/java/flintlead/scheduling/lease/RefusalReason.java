package flintlead.scheduling.lease;

import java.util.Locale;

/** Why a host whose lease has ended was sent no new work. */
public enum RefusalReason {
  /**
   * The host answered a probe otherwise than as alive, or the backoff after a failed probe has not
   * passed.
   */
  PROBE_DENIED,
  /** The host did not answer a probe in time. */
  PROBE_UNANSWERED,
  /** The host could not be reached for a probe. */
  UNREACHABLE,
  /** This gateway has used up its share of the probes that a host may be sent. */
  PROBE_LIMIT,
  /** The deployment allows no probes. */
  PROBES_FORBIDDEN;

  /** Returns the name used in log lines. */
  public String key() {
    return "unproven_" + name().toLowerCase(Locale.ROOT);
  }
}
