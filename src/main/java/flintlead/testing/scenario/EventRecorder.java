package flintlead.testing.scenario;

import flintlead.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Records what happened in a run, in the order of time, for reports; bounded, and it counts what it
 * had to drop.
 */
public final class EventRecorder {

  /**
   * How an invocation ended for its client, over all its attempts. The names are written to record
   * files.
   */
  public enum Completion {
    /** Answered within the latency objective. */
    IN_OBJECTIVE,
    /** Answered after the latency objective. */
    LATE,
    /** Rejected for overload. */
    THROTTLED,
    /** Failed or rejected for another reason. */
    ERRORED,
    /** No response, as the connection ended first or no gateway could be reached. */
    LOST
  }

  /**
   * One invocation.
   *
   * @param at when its first attempt was made, since the traffic began
   * @param gateway of the last attempt; null where none could be reached
   * @param attempts attempts made
   * @param latency from the first attempt to the end of the last
   * @param workMs in milliseconds on a core of speed 1
   */
  public record InvocationRecord(
      Span at,
      String function,
      String triggerType,
      String gateway,
      int attempts,
      Completion completion,
      Span latency,
      double workMs) {}

  /**
   * The state of one host.
   *
   * @param working invocations that run
   * @param waiting invocations that are queued
   * @param loading instances that are being loaded or queued for it
   */
  public record HostSample(
      String host,
      boolean up,
      boolean cold,
      boolean draining,
      int working,
      int waiting,
      int loading) {}

  /**
   * The state of all hosts at one time.
   *
   * @param at since the traffic began
   */
  public record FleetSample(Span at, List<HostSample> hosts) {}

  /** Between two samples. */
  public static final Span SAMPLE_INTERVAL = Span.ofMillis(250);

  private final int maxEntries;

  /** In the order in which they ended. */
  public final List<InvocationRecord> invocations = new ArrayList<>();

  /** In the order of time. */
  public final List<FleetSample> samples = new ArrayList<>();

  private final Map<String, Set<String>> hostsByFunction = new HashMap<>();
  private long dropped;

  /**
   * An empty recorder.
   *
   * @param maxEntries the most invocations, samples times hosts, and functions that are kept
   */
  public EventRecorder(int maxEntries) {
    this.maxEntries = maxEntries;
  }

  void add(InvocationRecord invocation) {
    if (invocations.size() < maxEntries) {
      invocations.add(invocation);
    } else {
      dropped++;
    }
  }

  void add(FleetSample sample) {
    if ((long) samples.size() * Math.max(1, sample.hosts().size()) < maxEntries) {
      samples.add(sample);
    }
  }

  void recordExecution(String function, String host) {
    if (hostsByFunction.size() < maxEntries || hostsByFunction.containsKey(function)) {
      hostsByFunction.computeIfAbsent(function, any -> new HashSet<>()).add(host);
    }
  }

  /** On how many hosts each function ran. */
  public Map<String, Integer> hostsPerFunction() {
    Map<String, Integer> counts = new TreeMap<>();
    hostsByFunction.forEach((function, hosts) -> counts.put(function, hosts.size()));
    return counts;
  }

  /** Invocations that were dropped, as the recorder was full. */
  public long droppedInvocations() {
    return dropped;
  }
}
