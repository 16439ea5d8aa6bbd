package flintlead.scheduling.state;

import java.util.ArrayList;
import java.util.List;

/** Load orders in flight after a miss, each with the invocation that waits for it. */
public final class LoadOrders {

  private final List<InvocationState> waiting = new ArrayList<>();

  /** Returns the number of load orders in flight. */
  public int size() {
    return waiting.size();
  }

  /** Returns whether the invocation waits for a load order. */
  public boolean contains(InvocationState invocation) {
    return waiting.contains(invocation);
  }

  /** Returns whether a load order is in flight at the host. */
  public boolean hasOrderAt(Host host) {
    return waiting.stream().anyMatch(invocation -> invocation.loadOrderedAt == host);
  }

  /**
   * Returns the invocation that waits for the function to be loaded at the host, or null if there
   * is none.
   */
  public InvocationState find(Host host, long function) {
    for (InvocationState invocation : waiting) {
      if (invocation.loadOrderedAt == host && invocation.function.id == function) {
        return invocation;
      }
    }
    return null;
  }

  /** Records that a load was ordered at the host for the invocation. */
  public void add(InvocationState invocation, Host host) {
    waiting.add(invocation);
    invocation.loadOrderedAt = host;
  }

  /**
   * Removes the load order of the function at the host. If the function was loaded, the waiting
   * invocation may be sent there again.
   */
  public void end(Host host, long function, boolean loaded) {
    InvocationState invocation = find(host, function);
    if (invocation != null) {
      waiting.remove(invocation);
      invocation.retryableHost = loaded ? host : null;
    }
  }
}
