package flintlead.discovery.endpoint;

import flintlead.scheduling.api.HostEntry.State;
import java.util.List;

/**
 * A host as a registry's key describes it.
 *
 * @param name unique among the hosts of a registry; the key without its prefix
 * @param addresses in the order in which they are tried
 * @param zone the failure domain
 * @param cell the part of the zone
 * @param kind the host class, by which pools may select it
 * @param startedEpochMs when its process started, in milliseconds by the wall clock; 0 where that
 *     is not known
 * @param weight its share of functions, relative to other hosts
 */
public record EndpointRecord(
    String name,
    List<String> addresses,
    int zone,
    int cell,
    int kind,
    State state,
    long startedEpochMs,
    double weight) {}
