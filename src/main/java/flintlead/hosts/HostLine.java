package flintlead.hosts;

import flintlead.port.HostEntry.State;

/**
 * What a registry's key says of a host.
 *
 * @param startedEpochMs when its process started, by the wall clock; 0 where that is not told
 */
public record HostLine(String name, String address, int zone, int cell, int kind, State state, long startedEpochMs,
                       double weight) {
}
