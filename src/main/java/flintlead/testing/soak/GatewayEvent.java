package flintlead.testing.soak;

/**
 * Something that was done to a gateway, or that it did.
 *
 * @param startNanos when it began
 * @param endNanos when it was over
 */
record GatewayEvent(int gateway, Kind kind, long startNanos, long endNanos, String detail) {

  /** What happened. */
  enum Kind {
    /** It stood still. */
    STANDSTILL,
    /** It was killed without notice. */
    KILLED,
    /** It was killed some time after SIGTERM. */
    KILLED_AFTER_TERM,
    /** It ended by itself after SIGTERM. */
    ENDED,
    /** It ended by itself, and nobody had asked for it. */
    CRASHED,
    /** It was not ready in time. */
    NOT_READY,
    /** It was over one of its limits. */
    OVER_LIMIT,
    /** It reported a violation of an invariant. */
    VIOLATION
  }

  boolean overlaps(long fromNanos, long toNanos) {
    return startNanos <= toNanos && endNanos >= fromNanos;
  }
}
