package flintlead.scheduling.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/** State of one function in a gateway, over all hosts. */
public final class FunctionState {

  private static final double TWO_TO_52 = 0x1p52;
  private static final double TWO_TO_MINUS_53 = 0x1p-53;
  private static final int DROPPED_BITS = 11;

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

  private Host[] walk;
  private Host[] walkHosts;

  /** Creates a function without estimates. */
  public FunctionState(long id) {
    this.id = id;
  }

  /**
   * Returns the hosts ordered by a hash of function id and host id (rendezvous hashing). Adding or
   * removing a host does not change the relative order of the others.
   *
   * @param hosts an array that is never modified; its walk is cached until another array is passed
   */
  public Host[] hashWalk(Host[] hosts) {
    if (walkHosts != hosts) {
      long seed = BitMixer.mix(id);
      walk = hosts.clone();
      if (haveEqualWeights(hosts)) {
        Arrays.sort(walk, Comparator.comparingLong(host -> BitMixer.mix(seed + host.id())));
      } else {
        sortByWeightedRendezvous(seed);
      }
      walkHosts = hosts;
    }
    return walk;
  }

  private static boolean haveEqualWeights(Host[] hosts) {
    for (Host host : hosts) {
      if (host.entry.weight() != hosts[0].entry.weight()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Sorts the walk by weighted rendezvous hashing (Schindelhauer and Schomaker, 2005, logarithmic
   * method). The probability that a host comes first is proportional to its weight, and changing
   * one weight does not change the relative order of the other hosts. With equal weights the result
   * is the order of the hash alone.
   */
  private void sortByWeightedRendezvous(long seed) {
    Map<Host, Double> distances = new IdentityHashMap<>();
    for (Host host : walk) {
      long hash = BitMixer.mix(seed + host.id());
      double uniform = ((hash >> DROPPED_BITS) + TWO_TO_52 + 0.5) * TWO_TO_MINUS_53;
      double weight = host.entry.weight();
      distances.put(host, weight > 0 ? -Math.log(1 - uniform) / weight : Double.POSITIVE_INFINITY);
    }
    Arrays.sort(walk, Comparator.comparingDouble(distances::get));
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
  public void forgetEstimates() {
    estimates.forEach(estimate -> estimate.host.functions.remove(this));
    estimates.clear();
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
  public InstanceEstimate getOrCreateEstimate(Host host) {
    InstanceEstimate estimate = estimateAt(host);
    if (estimate == null) {
      estimate = new InstanceEstimate(host);
      estimates.add(estimate);
      host.functions.add(this);
    }
    return estimate;
  }
}
