package flintlead.routing.admission;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.Random;

/**
 * Limits the invocations in flight and their payload bytes in a gateway, and divides this capacity
 * between sources. A source is a client connection, or the application that embeds the gateway.
 *
 * <p>A source may use at most a multiple of the free capacity: dynamic thresholds (Choudhury and
 * Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches", 1998, section III).
 * However many invocations one client sends, there is capacity left for the next client; no source
 * needs its own quota, and a single source may use most of an idle gateway. An invocation above the
 * threshold is throttled at once, which the client sees. A connection that reaches its own window
 * is not read, so that further requests wait in the kernel's socket buffer.
 *
 * <p>Pure; not thread-safe: used on the gateway's event loop.
 */
public final class AdmissionController {

  /**
   * The limits.
   *
   * @param maxInvocations invocations in flight from all sources
   * @param maxBytes payload bytes of these invocations
   * @param freeShareMultiple limit of one source as a multiple of the free capacity: with 4, a
   *     single source can fill four fifths of the capacity
   * @param connectionWindow a connection with this many invocations in flight is not read
   * @param connectionWindowBytes a connection with this many payload bytes in flight is not read
   * @param unsentPauseBytes a connection whose client has this many unread response bytes is not
   *     read
   * @param unsentCloseBytes a connection whose client has more unread response bytes than this is
   *     closed at once
   * @param unsentTimeout a connection whose client has unread responses but reads nothing for
   *     longer than this is closed
   */
  public record Limits(
      int maxInvocations,
      long maxBytes,
      double freeShareMultiple,
      int connectionWindow,
      long connectionWindowBytes,
      long unsentPauseBytes,
      long unsentCloseBytes,
      Span unsentTimeout) {

    /** The limits that apply unless others are configured. */
    public static final Limits DEFAULTS =
        new Limits(
            10_000, 64L << 20, 4, 4_096, 16L << 20, 1L << 20, 32L << 20, Span.ofMillis(10_000));

    /**
     * @throws IllegalArgumentException if a limit is not positive, or {@code unsentCloseBytes} is
     *     below {@code unsentPauseBytes}
     */
    public Limits {
      if (maxInvocations < 1
          || maxBytes < 1
          || !(freeShareMultiple > 0)
          || connectionWindow < 1
          || connectionWindowBytes < 1
          || unsentPauseBytes < 1
          || unsentCloseBytes < unsentPauseBytes
          || unsentTimeout.micros() < 1) {
        throw new IllegalArgumentException(
            "every limit must be above zero, and unsentCloseBytes at least unsentPauseBytes");
      }
    }
  }

  /** The share of the gateway's capacity that one source uses. */
  public static final class Source {
    private int invocations;
    private long bytes;

    /** Response bytes that the client has not read yet. */
    private long unsentBytes;

    /** Time since which the client has read none of these bytes; null if there are none. */
    private Moment unreadSince;

    private boolean paused;

    /** Invocations in flight. */
    public int invocations() {
      return invocations;
    }

    /** Payload bytes of the invocations in flight. */
    public long bytes() {
      return bytes;
    }
  }

  /**
   * A paused connection is read again below this fraction of its limits. The gap keeps it from
   * being paused and resumed with each response.
   */
  private static final double RESUME_FRACTION = 0.75;

  /** Shortest retry delay that a throttled client is given. */
  private static final Span MIN_RETRY_AFTER = Span.ofMillis(100);

  /**
   * How much longer the retry delay is in a full gateway than in an empty one, as a multiple of the
   * shortest.
   */
  private static final double FULL_LOAD_INCREASE = 2;

  private final Limits limits;
  private final Random random;
  private int admitted;
  private long bytes;

  /**
   * @param random spreads the retry delays of throttled clients
   */
  public AdmissionController(Limits bounds, Random random) {
    this.limits = bounds;
    this.random = random;
  }

  /**
   * Admits one more invocation of the source if the limits allow it. An admitted invocation is
   * counted until it is released.
   *
   * @return whether it was admitted
   */
  public boolean tryAdmit(Source source, long payloadBytes) {
    double room = limits.freeShareMultiple * (limits.maxInvocations - admitted);
    double byteRoom = limits.freeShareMultiple * (limits.maxBytes - bytes);
    boolean full = admitted >= limits.maxInvocations || bytes + payloadBytes > limits.maxBytes;
    if (full || source.invocations >= room || source.bytes + payloadBytes > byteRoom) {
      return false;
    }
    admitted++;
    bytes += payloadBytes;
    source.invocations++;
    source.bytes += payloadBytes;
    return true;
  }

  /**
   * Releases an admitted invocation that has its final response or whose client has disconnected.
   */
  public void release(Source source, long payloadBytes) {
    admitted--;
    bytes -= payloadBytes;
    source.invocations--;
    source.bytes -= payloadBytes;
  }

  /** Whether more requests may be read from the source's connection now. */
  public boolean mayRead(Source source) {
    double fraction = source.paused ? RESUME_FRACTION : 1;
    source.paused =
        source.invocations >= fraction * limits.connectionWindow
            || source.bytes >= fraction * limits.connectionWindowBytes
            || source.unsentBytes >= fraction * limits.unsentPauseBytes;
    return !source.paused;
  }

  /** Records how many response bytes the client has not read yet. */
  public void recordUnsent(Source source, long unsentBytes, Moment now) {
    if (unsentBytes == 0) {
      source.unreadSince = null;
    } else if (source.unsentBytes == 0
        || unsentBytes < source.unsentBytes && source.unreadSince != null) {
      // The first unread bytes, or the client reads, however slowly: its timeout starts again.
      source.unreadSince = now;
    }
    source.unsentBytes = unsentBytes;
  }

  /**
   * Whether the connection must be closed because the client has left responses unread for too
   * long, or too many response bytes.
   */
  public boolean shouldClose(Source source, Moment now) {
    return source.unsentBytes > limits.unsentCloseBytes
        || source.unreadSince != null
            && now.since(source.unreadSince).isLongerThan(limits.unsentTimeout);
  }

  /**
   * Returns the time after which a throttled client may retry. It grows with the number of admitted
   * invocations; a random factor from 1 to 2 spreads the retries.
   */
  public Span retryAfter() {
    double fullness = (double) admitted / limits.maxInvocations;
    return MIN_RETRY_AFTER.times((1 + FULL_LOAD_INCREASE * fullness) * (1 + random.nextDouble()));
  }

  /** Number of invocations admitted and not yet released. */
  public int admitted() {
    return admitted;
  }

  /** Payload bytes of these invocations. */
  public long bytes() {
    return bytes;
  }

  /** The limits in force. */
  public Limits limits() {
    return limits;
  }
}
