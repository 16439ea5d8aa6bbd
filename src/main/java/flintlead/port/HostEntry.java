package flintlead.port;

import flintlead.time.Moment;

/** A line of the host list. {@code startedAt} is zero for a start in the distant past. */
public record HostEntry(long host, int zone, int cell, int kind, State state, Moment startedAt, double weight) {

    /** What the list says of a host. */
    public enum State { READY, DRAINING, GONE }
}
