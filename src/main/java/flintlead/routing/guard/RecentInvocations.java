package flintlead.routing.guard;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Ids of invocations that must not run twice and may have run. A client may send an id again after
 * it has left, or after its response. An id is known until the memory for all of them is used up;
 * then the oldest is forgotten. Not thread-safe.
 */
public final class RecentInvocations {

  /** Heap of one id. */
  private static final int ID_BYTES = 88;

  private final int maxIds;
  private final Set<Long> ids = new LinkedHashSet<>();

  /**
   * Creates an empty set.
   *
   * @param maxBytes heap that all ids may occupy
   */
  public RecentInvocations(long maxBytes) {
    this.maxIds = (int) Math.max(1, Math.min(Integer.MAX_VALUE, maxBytes / ID_BYTES));
  }

  /** Adds an id, or renews one that is known. */
  public void add(long id) {
    ids.remove(id);
    ids.add(id);
    if (ids.size() > maxIds) {
      Iterator<Long> oldest = ids.iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Removes an id: its invocation has not run. */
  public void remove(long id) {
    ids.remove(id);
  }

  /** Whether the invocation with that id may have run. */
  public boolean contains(long id) {
    return ids.contains(id);
  }
}
