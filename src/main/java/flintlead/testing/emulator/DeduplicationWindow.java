package flintlead.testing.emulator;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The idempotency keys that a group of hosts remembers, to drop duplicates within the window. On
 * the hosts' loop.
 */
public final class DeduplicationWindow {

  /**
   * Keys are kept for this multiple of the window: a host that stood still judges a duplicate by
   * when it arrived, and that was earlier.
   */
  private static final double RETENTION_MULTIPLE = 10;

  private final Span window;

  /** When each key was seen first in its window, in the order of time. */
  private final Map<String, Moment> seen = new LinkedHashMap<>();

  /**
   * A memory without keys.
   *
   * @param window within which a repeated key is a duplicate
   */
  public DeduplicationWindow(Span window) {
    this.window = window;
  }

  /**
   * Whether the key, which arrived then, is new to the group; from then on it is not, for the
   * window's time.
   */
  boolean isNew(String key, Moment arrivedAt) {
    Iterator<Moment> oldest = seen.values().iterator();
    while (oldest.hasNext()
        && arrivedAt.since(oldest.next()).isLongerThan(window.times(RETENTION_MULTIPLE))) {
      oldest.remove();
    }
    Moment before = seen.get(key);
    if (before != null && !arrivedAt.since(before).isLongerThan(window)) {
      return false;
    }
    seen.remove(key);
    seen.put(key, arrivedAt);
    return true;
  }

  /** The invocation turned out not to have run: its key may come again. */
  void forget(String key) {
    seen.remove(key);
  }
}
