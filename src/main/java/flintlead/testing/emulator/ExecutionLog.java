package flintlead.testing.emulator;

import flintlead.time.Moment;
import java.util.ArrayList;
import java.util.List;

/**
 * Records what reached the hosts and what ran, as they saw it themselves, on the process's clock.
 * On the hosts' loop.
 */
public final class ExecutionLog {

  /** One invocation that reached a host. */
  public static final class Arrival {
    /** Name of the host. */
    public final String host;

    /** Incarnation of the host's process. */
    public final int incarnation;

    /** Name of the gateway that sent it. */
    public final String gateway;

    /** The idempotency key. */
    public final String token;

    /** Name of the function. */
    public final String function;

    /** Name of the trigger type. */
    public final String triggerType;

    /** When it arrived. */
    public final Moment at;

    /** Its work in milliseconds on a core of speed 1. */
    public final double workMs;

    /** When it took effect; null where it did not. */
    public Moment executedAt;

    /** Whether it was dropped as a duplicate of one that the group knows. */
    public boolean duplicate;

    /**
     * Whether it was answered with full, draining or miss: it did not run, and the gateway was told
     * so.
     */
    public boolean provenNotRun;

    /** An invocation that has not run yet. */
    public Arrival(
        String host,
        int start,
        String gateway,
        String token,
        String function,
        String triggerType,
        Moment at,
        double workMs) {
      this.host = host;
      this.incarnation = start;
      this.gateway = gateway;
      this.token = token;
      this.function = function;
      this.triggerType = triggerType;
      this.at = at;
      this.workMs = workMs;
    }
  }

  /**
   * A load order that reached a host.
   *
   * @param copies instances ordered; 0 only asks how many are loaded
   */
  public record LoadOrder(String host, String gateway, String function, int copies, Moment at) {}

  /**
   * A start of a host's process.
   *
   * @param incarnation incarnation, 1 for the first
   * @param coresTimesSpeed capacity when warm, in milliseconds of work per millisecond
   */
  public record HostStart(
      String host, int incarnation, Moment at, boolean cold, double coresTimesSpeed) {}

  /** A cold host collapsed under overload. */
  public record Collapse(String host, Moment at) {}

  /** A host notified its gateways that it drains. */
  public record DrainStart(String host, int incarnation, Moment at) {}

  /** In the order of arrival. */
  public final List<Arrival> arrivals = new ArrayList<>();

  /** In the order of arrival. */
  public final List<LoadOrder> orders = new ArrayList<>();

  /** In the order of time. */
  public final List<HostStart> starts = new ArrayList<>();

  /** In the order of time. */
  public final List<Collapse> collapses = new ArrayList<>();

  /** In the order of time. */
  public final List<DrainStart> drains = new ArrayList<>();

  /** Instances loaded. */
  public int loads;

  /** Fetches begun at the store. */
  public int fetches;

  private final int maxEntries;

  /**
   * An empty log.
   *
   * @param maxEntries arrivals and orders that are kept, so that a host that runs for long does not
   *     fill its memory
   */
  public ExecutionLog(int maxEntries) {
    this.maxEntries = maxEntries;
  }

  void arrived(Arrival arrival) {
    if (arrivals.size() < maxEntries) {
      arrivals.add(arrival);
    }
  }

  void ordered(LoadOrder order) {
    if (orders.size() < maxEntries) {
      orders.add(order);
    }
  }
}
