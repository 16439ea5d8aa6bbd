package flintlead.gateway.downstream;

import flintlead.time.Span;

/**
 * Limits of a client front.
 *
 * @param maxConnections open at once
 * @param frameBytes bytes of one line
 * @param evictableAfterIdle how long a connection must have been idle before it may be evicted for
 *     a new one
 * @param partialLineBytes bytes of lines that have not ended yet, over all connections
 * @param unreadBytes bytes of responses that clients have not read, over all connections
 */
public record FrontLimits(
    int maxConnections,
    int frameBytes,
    Span evictableAfterIdle,
    long partialLineBytes,
    long unreadBytes) {

  /** The limits that a configuration may leave out. */
  public static final FrontLimits DEFAULTS = new FrontLimits(1_024, 1 << 20, Span.ofMillis(10_000));

  private static final int SMALLEST_FRAME = 64;
  private static final long DEFAULT_PARTIAL_LINE_BYTES = 64L << 20;
  private static final long DEFAULT_UNREAD_BYTES = 256L << 20;

  /** Throws IllegalArgumentException if a limit is too small to work with. */
  public FrontLimits {
    if (maxConnections < 1 || frameBytes < SMALLEST_FRAME || evictableAfterIdle.micros() < 0) {
      throw new IllegalArgumentException(
          "a front has room for 1 connection at least, and for frames of 64 bytes");
    }
  }

  /** Limits with the usual bytes over all connections. */
  public FrontLimits(int maxConnections, int frameBytes, Span evictableAfterIdle) {
    this(
        maxConnections,
        frameBytes,
        evictableAfterIdle,
        DEFAULT_PARTIAL_LINE_BYTES,
        DEFAULT_UNREAD_BYTES);
  }

  /** The same limits with other bytes over all connections. */
  public FrontLimits withSharedBytes(long partialLines, long unread) {
    return new FrontLimits(maxConnections, frameBytes, evictableAfterIdle, partialLines, unread);
  }
}
