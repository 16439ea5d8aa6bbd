package flintlead.scheduling.api;

import flintlead.time.Moment;

/**
 * Entry of one host in the host list.
 *
 * @param host id of the host
 * @param startedAt when the process of the host started; zero for a start in the distant past
 * @param weight share of the load relative to other hosts
 * @param pools bit set of the pools that the host belongs to, numbered from 0 to 62; all bits are
 *     set if the deployment has no pools
 */
public record HostEntry(
    long host,
    int zone,
    int cell,
    int kind,
    State state,
    Moment startedAt,
    double weight,
    long pools) {

  private static final long ALL_POOLS = -1L;

  /** State of a host in the host list. */
  public enum State {
    READY,
    DRAINING,
    GONE
  }

  /** Creates an entry for a deployment without pools. */
  public HostEntry(
      long host, int zone, int cell, int kind, State state, Moment startedAt, double weight) {
    this(host, zone, cell, kind, state, startedAt, weight, ALL_POOLS);
  }

  /** Returns whether the host belongs to the pool, so that its invocations may be sent there. */
  public boolean serves(int pool) {
    return (pools >>> pool & 1) != 0;
  }

  /** Returns a copy with another state. */
  public HostEntry withState(State newState) {
    return new HostEntry(host, zone, cell, kind, newState, startedAt, weight, pools);
  }

  /** Returns a copy with another start time of the process. */
  public HostEntry withStartedAt(Moment newStart) {
    return new HostEntry(host, zone, cell, kind, state, newStart, weight, pools);
  }
}
