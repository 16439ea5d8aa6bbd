package flintlead.routing.guard;

import java.util.EnumMap;
import java.util.Map;

/** Counts the violations of each invariant and reports every one to a listener. Not thread-safe. */
public final class InvariantMonitor {

  /** Is notified of each violation. */
  public interface Listener {

    /**
     * Called once for each violation.
     *
     * @param id of the invocation: that of the client's request, or a number given by the gateway
     * @param detail what happened, with the times involved
     */
    void violated(Invariant invariant, String id, String detail);
  }

  private final Map<Invariant, Long> counts = new EnumMap<>(Invariant.class);
  private final Listener listener;

  /** Creates a monitor with all counts at zero. */
  public InvariantMonitor(Listener listener) {
    this.listener = listener;
  }

  /** Counts and reports a violation. */
  public void violated(Invariant invariant, String id, String detail) {
    counts.merge(invariant, 1L, Long::sum);
    listener.violated(invariant, id, detail);
  }

  /** Number of violations of one invariant. */
  public long count(Invariant invariant) {
    return counts.getOrDefault(invariant, 0L);
  }

  /** Number of violations of all invariants. */
  public long total() {
    return counts.values().stream().mapToLong(Long::longValue).sum();
  }
}
