package flintlead.routing.admission;

/**
 * Divides the memory of a gateway process among the kinds of state that its peers, clients, hosts
 * and lists can make it keep. docs/platform.md has the table of all kinds, their limits, and what
 * happens at each limit. Pure.
 *
 * @param heapBytes maximum size of the heap
 */
public record MemoryBudget(long heapBytes) {

  /** Heap for code, constants and short-lived objects, which no peer can increase. */
  private static final long FIXED_BYTES = 6L << 20;

  /** Fraction of a heap of any size that remains for state. */
  private static final double MIN_STATE_FRACTION = 0.25;

  // Shares of the heap for state; their sum is 1.
  private static final double HOST_FRACTION = 0.35;
  private static final double CONNECTION_FRACTION = 0.18;
  private static final double INVOCATION_FRACTION = 0.13;
  private static final double SCHEDULER_FRACTION = 0.13;
  private static final double RECEIVED_FRACTION = 0.06;
  private static final double HOST_RESPONSE_FRACTION = 0.065;
  private static final double UNREAD_FRACTION = 0.065;
  private static final double RECENT_ID_FRACTION = 0.02;

  /** Heap of a listed host, in the scheduler, the leases and the connection pools. */
  private static final int HOST_BYTES = 1_024;

  /** Heap of a connection to a client or a host. */
  private static final int CONNECTION_BYTES = 2_560;

  private long share(double fraction) {
    double state = Math.max(heapBytes - FIXED_BYTES, heapBytes * MIN_STATE_FRACTION);
    return (long) (state * fraction);
  }

  /** Number of hosts that may be listed. */
  public int hosts() {
    return count(HOST_FRACTION, HOST_BYTES);
  }

  /** Number of connections to clients and hosts. */
  public int connections() {
    return count(CONNECTION_FRACTION, CONNECTION_BYTES);
  }

  private int count(double fraction, int bytesEach) {
    return (int) Math.max(1, Math.min(Integer.MAX_VALUE, share(fraction) / bytesEach));
  }

  /** Bytes of the invocations in progress, with their bodies. */
  public long invocationBytes() {
    return share(INVOCATION_FRACTION);
  }

  /** Bytes of what the scheduler remembers of functions, and of hosts that have left. */
  public long schedulerBytes() {
    return share(SCHEDULER_FRACTION);
  }

  /** Bytes of requests that clients have sent in part. */
  public long receivedBytes() {
    return share(RECEIVED_FRACTION);
  }

  /** Bytes of responses that hosts have sent in part. */
  public long hostResponseBytes() {
    return share(HOST_RESPONSE_FRACTION);
  }

  /** Bytes of responses that clients have not read. */
  public long unreadBytes() {
    return share(UNREAD_FRACTION);
  }

  /** Bytes of the ids of invocations that may have run and must not run again. */
  public long recentIdBytes() {
    return share(RECENT_ID_FRACTION);
  }
}
