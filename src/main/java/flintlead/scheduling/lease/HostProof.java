package flintlead.scheduling.lease;

import java.util.Locale;

/** What shows that a host took new work at some time, or leaves that in doubt. */
public enum HostProof {
  /** The host list is current and has the host ready. */
  LIST,
  /** It answered a probe: it is alive and does not drain. */
  PROBE,
  /** It took on and served an attempt or a load order. */
  SERVED,
  /** It answered a probe otherwise: it may drain, be sick, or get too many probes. */
  PROBE_DENIED,
  /** It did not answer a probe in time. */
  PROBE_UNANSWERED,
  /** It turned new work away: it may drain, or be full. */
  TURNED_AWAY,
  /** No connection to it could be opened: another process may live there later. */
  UNREACHABLE;

  /** The name in log lines. */
  public String key() {
    return name().toLowerCase(Locale.ROOT);
  }
}
