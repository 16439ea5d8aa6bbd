package flintlead.scheduling.state;

import java.util.ArrayList;
import java.util.List;

/** State of one function in a gateway, over all hosts. */
public final class FunctionState {

  public final long id;

  /**
   * Estimates by host, for hosts that the function was sent to or, according to a peer, is loaded
   * at. They are removed when the host restarts or is forgotten.
   */
  public final List<InstanceEstimate> estimates = new ArrayList<>();

  /**
   * Number of hosts that the invocations of all gateways are spread over. It may be fractional, as
   * each invocation picks its host by a random draw.
   */
  public double replicaTarget = 1;

  /** The replica target that was last sent to peers. */
  public double gossipedReplicaTarget = 1;

  /**
   * This gateway's queued invocations of the function. During {@link PendingQueue#visitInOrder},
   * only those already passed over are counted.
   */
  public int queued;

  private final EstimateCounter counter;

  /** Counts the estimates of all functions of a gateway. */
  static final class EstimateCounter {
    private int count;

    int count() {
      return count;
    }
  }

  /** Creates a function without estimates that belongs to no table. */
  public FunctionState(long id) {
    this(id, new EstimateCounter());
  }

  /** Creates a function without estimates. */
  FunctionState(long id, EstimateCounter counter) {
    this.id = id;
    this.counter = counter;
  }

  /** Whether an instance of the function is believed to be loaded, or was until it expired. */
  boolean hasLoadedInstance() {
    for (InstanceEstimate estimate : estimates) {
      if (estimate.instances > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether an invocation of the function is queued or in flight. */
  public boolean isBusy() {
    for (InstanceEstimate estimate : estimates) {
      if (estimate.inFlight > 0) {
        return true;
      }
    }
    return queued > 0;
  }

  /** Removes the estimates for all hosts. */
  void forgetEstimates() {
    estimates.forEach(estimate -> estimate.host.functions.remove(this));
    counter.count -= estimates.size();
    estimates.clear();
  }

  /** Removes the estimate for the host, which removes its reference to the function itself. */
  void forgetEstimateAt(Host host) {
    if (estimates.removeIf(estimate -> estimate.host == host)) {
      counter.count--;
    }
  }

  /**
   * Removes the least recently used estimate that has no invocation in flight, other than the one
   * in use; returns whether there was one.
   */
  boolean forgetOldestIdleEstimate(InstanceEstimate inUse) {
    InstanceEstimate oldest = null;
    for (InstanceEstimate estimate : estimates) {
      if (estimate != inUse
          && estimate.inFlight == 0
          && (oldest == null || estimate.lastUsedAt.isBefore(oldest.lastUsedAt))) {
        oldest = estimate;
      }
    }
    if (oldest == null) {
      return false;
    }
    oldest.host.functions.remove(this);
    forgetEstimateAt(oldest.host);
    return true;
  }

  /** Returns the estimate for the host, or null if there is none. */
  public InstanceEstimate estimateAt(Host host) {
    for (InstanceEstimate estimate : estimates) {
      if (estimate.host == host) {
        return estimate;
      }
    }
    return null;
  }

  /** Returns the estimate for the host; creates it if there is none. */
  InstanceEstimate getOrCreateEstimate(Host host) {
    InstanceEstimate estimate = estimateAt(host);
    if (estimate == null) {
      estimate = new InstanceEstimate(host);
      estimates.add(estimate);
      counter.count++;
      host.functions.add(this);
    }
    return estimate;
  }
}
