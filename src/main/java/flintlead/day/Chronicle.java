package flintlead.day;

import flintlead.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What happened on a day, in the order of time, for reports; bounded, and it says so when it is full. */
public final class Chronicle {

    /** How an invocation ended for its client, all its tries together. */
    public enum End { IN_OBJECTIVE, LATE, THROTTLED, ERRORED, LOST }

    /** One invocation; {@code at} since the day began; {@code gateway} null where none could be reached. */
    public record Invocation(Span at, String function, String triggerType, String gateway, int tries, End end, Span took,
                             double workMs) { }

    /** A host as it stood. */
    public record HostLook(String host, boolean up, boolean cold, boolean draining, int working, int waiting, int loading) { }

    /** All hosts at one moment. */
    public record Sample(Span at, List<HostLook> hosts) { }

    public static final Span SAMPLED = Span.ofMillis(250);

    private final int most;
    public final List<Invocation> invocations = new ArrayList<>();
    public final List<Sample> samples = new ArrayList<>();
    private final Map<String, Set<String>> hostsOf = new HashMap<>();
    private long leftOut;

    /** @param most invocations that are kept, and samples times hosts */
    public Chronicle(int most) {
        this.most = most;
    }

    void add(Invocation one) {
        if (invocations.size() < most) {
            invocations.add(one);
        } else {
            leftOut++;
        }
    }

    void add(Sample one) {
        if ((long) samples.size() * Math.max(1, one.hosts().size()) < most) {
            samples.add(one);
        }
    }

    void ran(String function, String host) {
        if (hostsOf.size() < most || hostsOf.containsKey(function)) {
            hostsOf.computeIfAbsent(function, any -> new HashSet<>()).add(host);
        }
    }

    /** On how many hosts each function ran. */
    public Map<String, Integer> hostsOf() {
        Map<String, Integer> counts = new TreeMap<>();
        hostsOf.forEach((function, hosts) -> counts.put(function, hosts.size()));
        return counts;
    }

    /** Invocations for which there was no place. */
    public long leftOut() {
        return leftOut;
    }
}
