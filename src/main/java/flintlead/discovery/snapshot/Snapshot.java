package flintlead.discovery.snapshot;

import java.util.Map;

/**
 * What a registry held when it was last applied. Stored as CBOR under the names of its components,
 * which therefore must stay.
 *
 * @param source the registry and prefix that it is of, so that another one's is not taken for it
 * @param cluster id of the registry's cluster
 * @param revision the last applied revision
 * @param epochMs when it was written, in milliseconds by the wall clock
 * @param keys the values by key
 */
public record Snapshot(
    String source, String cluster, long revision, long epochMs, Map<String, String> keys) {}
