package flintlead.gateway.upstream;

import flintlead.time.Span;

/**
 * Limits of the connections to hosts.
 *
 * @param connectionsPerHost connections to one address of a host; all but the first are opened only
 *     under load
 * @param totalConnections connections to all hosts together
 * @param connectsPerSecond new connections per second to all hosts together
 * @param requestsPerConnection requests in flight on one connection
 * @param pendingRequests requests that wait for a connection to one host; further requests end
 *     unsent with outcome {@code FULL}
 * @param unsentBytes bytes written to a connection but not yet accepted by the kernel; from this
 *     many on, no further request or ping is written
 * @param frameBytes bytes of one message from a host
 * @param connectTimeout how long a connection may take to open and the host to greet; also how long
 *     a probe may take
 * @param writeStallTimeout how long {@code unsentBytes} may be reached before the connection fails,
 *     because the host does not read
 * @param idleTimeout how long a connection may be idle before it is closed
 * @param partialMessageBytes bytes of messages that hosts have not ended yet, over all connections
 */
public record UpstreamLimits(
    int connectionsPerHost,
    int totalConnections,
    double connectsPerSecond,
    int requestsPerConnection,
    int pendingRequests,
    long unsentBytes,
    int frameBytes,
    Span connectTimeout,
    Span writeStallTimeout,
    Span idleTimeout,
    long partialMessageBytes) {

  /** Default values, for limits that a configuration does not set. */
  public static final UpstreamLimits DEFAULTS =
      new UpstreamLimits(
          2,
          2_048,
          200,
          1_024,
          256,
          1L << 20,
          4 << 20,
          Span.ofMillis(500),
          Span.ofMillis(3_000),
          Span.ofMillis(60_000));

  private static final long DEFAULT_PARTIAL_MESSAGE_BYTES = 64L << 20;

  /** Throws IllegalArgumentException if any limit is not above zero. */
  public UpstreamLimits {
    if (connectionsPerHost < 1
        || totalConnections < 1
        || !(connectsPerSecond > 0)
        || requestsPerConnection < 1
        || pendingRequests < 1
        || unsentBytes < 1
        || frameBytes < 1
        || connectTimeout.micros() < 1
        || writeStallTimeout.micros() < 1
        || idleTimeout.micros() < 1) {
      throw new IllegalArgumentException("every upstream limit must be above zero");
    }
  }

  /** Limits with the usual bytes of unfinished messages. */
  public UpstreamLimits(
      int connectionsPerHost,
      int totalConnections,
      double connectsPerSecond,
      int requestsPerConnection,
      int pendingRequests,
      long unsentBytes,
      int frameBytes,
      Span connectTimeout,
      Span writeStallTimeout,
      Span idleTimeout) {
    this(
        connectionsPerHost,
        totalConnections,
        connectsPerSecond,
        requestsPerConnection,
        pendingRequests,
        unsentBytes,
        frameBytes,
        connectTimeout,
        writeStallTimeout,
        idleTimeout,
        DEFAULT_PARTIAL_MESSAGE_BYTES);
  }

  /** The same limits with other bytes of unfinished messages. */
  public UpstreamLimits withPartialMessageBytes(long bytes) {
    return new UpstreamLimits(
        connectionsPerHost,
        totalConnections,
        connectsPerSecond,
        requestsPerConnection,
        pendingRequests,
        unsentBytes,
        frameBytes,
        connectTimeout,
        writeStallTimeout,
        idleTimeout,
        bytes);
  }
}
