package flintlead.scheduling.lease;

import java.util.Locale;

/** Evidence that a host accepts new work, or that it may not. */
public enum HostEvidence {
  /** The host list is current and lists the host as ready. */
  LIST,
  /** The host answered a probe: it is alive and not draining. */
  PROBE,
  /** The host accepted and served an attempt or a load order. */
  SERVED,
  /**
   * The host answered a probe otherwise: it may be draining or unhealthy, or be sent too many
   * probes.
   */
  PROBE_DENIED,
  /** The host did not answer a probe in time. */
  PROBE_UNANSWERED,
  /** The host rejected new work: it may be draining or full. */
  TURNED_AWAY,
  /** No connection to the host could be opened: another process may run at its address later. */
  UNREACHABLE;

  /** Returns the name used in log lines. */
  public String key() {
    return name().toLowerCase(Locale.ROOT);
  }
}
