package flintlead.gateway.upstream;

import flintlead.scheduling.api.Outcome;

/**
 * Error codes of the hosts' protocol, and whether each proves that the request did not run. Rule 2
 * depends on this: only {@link #FULL}, {@link #MISS} and {@link #DRAINING} prove it, apart from a
 * request of which no byte can have left the gateway.
 */
public final class HostErrorCodes {

  /** The host has no room in its queue or memory; the request was not processed. */
  public static final int FULL = -32010;

  /** The function is not loaded on the host, or its load failed; it did not run. */
  public static final int MISS = -32011;

  /** The host is draining; the request was not processed. */
  public static final int DRAINING = -32012;

  /** The request failed; the function ran or may have run. */
  public static final int FAILED = -32013;

  private HostErrorCodes() {}

  static Outcome outcome(int code) {
    return switch (code) {
      case FULL, DRAINING -> Outcome.FULL;
      case MISS -> Outcome.MISS;
      default -> Outcome.ERROR;
    };
  }
}
