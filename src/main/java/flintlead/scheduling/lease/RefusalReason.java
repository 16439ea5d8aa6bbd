package flintlead.scheduling.lease;

import java.util.Locale;

/** Why a host whose lease has ended got no new work. */
public enum RefusalReason {
  /** A probe was answered otherwise than alive. */
  PROBE_DENIED,
  /** A probe had no answer in time. */
  PROBE_UNANSWERED,
  /** The host could not be reached for a probe. */
  UNREACHABLE,
  /** This gateway has used its part of the probes that a host bears. */
  PROBE_LIMIT,
  /** The deployment allows no probes. */
  PROBES_FORBIDDEN;

  /** The name in log lines. */
  public String key() {
    return "unproven_" + name().toLowerCase(Locale.ROOT);
  }
}
