package flintlead.scheduling.api;

/**
 * Limits of what a scheduler remembers. At each limit, what was least recently used is forgotten.
 *
 * @param functions functions
 * @param estimates pairs of a function and a host that it was sent to, over all functions
 * @param hashWalkHosts hosts in all cached hash walks together
 * @param departedHosts hosts that have left the host list
 */
public record StateLimits(int functions, int estimates, int hashWalkHosts, int departedHosts) {

  /** The limits of a gateway whose memory is not limited otherwise. */
  public static final StateLimits DEFAULTS = new StateLimits(16_384, 262_144, 4_194_304, 1_024);

  /** Heap of a function without estimates and hash walk, in bytes. */
  private static final int FUNCTION_BYTES = 200;

  private static final int ESTIMATE_BYTES = 120;
  private static final int HASH_WALK_HOST_BYTES = 4;
  private static final int DEPARTED_HOST_BYTES = 800;

  private static final double FUNCTION_FRACTION = 0.3;
  private static final double ESTIMATE_FRACTION = 0.3;
  private static final double HASH_WALK_FRACTION = 0.35;
  private static final double DEPARTED_HOST_FRACTION = 0.05;

  /**
   * Returns the highest limits, up to the defaults, with which the remembered state fits.
   *
   * @param bytes heap for the state
   */
  public static StateLimits fitting(long bytes) {
    return new StateLimits(
        count(bytes * FUNCTION_FRACTION / FUNCTION_BYTES, DEFAULTS.functions),
        count(bytes * ESTIMATE_FRACTION / ESTIMATE_BYTES, DEFAULTS.estimates),
        count(bytes * HASH_WALK_FRACTION / HASH_WALK_HOST_BYTES, DEFAULTS.hashWalkHosts),
        count(bytes * DEPARTED_HOST_FRACTION / DEPARTED_HOST_BYTES, DEFAULTS.departedHosts));
  }

  private static int count(double fitting, int max) {
    return (int) Math.max(1, Math.min(max, fitting));
  }
}
