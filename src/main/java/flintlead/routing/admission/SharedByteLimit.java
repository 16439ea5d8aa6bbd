package flintlead.routing.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the bytes that several holders, such as connections, keep in memory together. Above the
 * limit, the holder that has kept bytes for the longest time must release them: a peer that sends
 * and reads as usual keeps bytes only for a short time. Pure; not thread-safe: used on the
 * gateway's event loop.
 *
 * @param <H> type of the holders
 */
public final class SharedByteLimit<H> {

  private final long maxBytes;

  /** Bytes by holder, in the order in which the holders began to keep some. */
  private final Map<H, Long> held = new LinkedHashMap<>();

  private long total;

  /**
   * Creates a limit that nobody uses yet.
   *
   * @param maxBytes bytes that all holders may keep together
   */
  public SharedByteLimit(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Records how many bytes the holder keeps now; 0 if it keeps none. */
  public void record(H holder, long bytes) {
    Long before = bytes == 0 ? held.remove(holder) : held.put(holder, bytes);
    total += bytes - (before == null ? 0 : before);
  }

  /** Whether the holders keep more than the limit allows. */
  public boolean isExceeded() {
    return total > maxBytes;
  }

  /** Returns the holder that has kept bytes for the longest time; null if nobody keeps any. */
  public H longestHolder() {
    return held.isEmpty() ? null : held.keySet().iterator().next();
  }

  /** Bytes that all holders keep together. */
  public long total() {
    return total;
  }
}
