package flintlead.testing.scenario;

import flintlead.time.Span;

/**
 * One fault of a scenario.
 *
 * @param kind what goes wrong
 * @param startsAt when it begins, since the traffic began
 * @param duration how long
 * @param fraction of the hosts, gateways, functions or clients that it concerns, 0 to 1
 * @param severity how severe it is, by kind: a multiple of the traffic or the latency, or the share
 *     that fails
 * @param episodeDuration of each episode, for kinds that come in episodes
 */
public record Fault(
    Kind kind,
    Span startsAt,
    Span duration,
    double fraction,
    double severity,
    Span episodeDuration) {

  /** What can go wrong. The names, in lower case with hyphens, are those of scenario files. */
  public enum Kind {
    /** Traffic of so many times the usual. */
    BURST,
    /** A rolling deployment: hosts drain, stop and come back cold, one after the other. */
    DEPLOY,
    /** Hosts accept invocations and answer none. */
    HANG,
    /** Hosts accept connections and read nothing. */
    SILENT,
    /** Hosts fail a share of their invocations at once. */
    FAST_ERRORS,
    /** Hosts stand still again and again. */
    PAUSES,
    /** All functions are released anew: idle instances are invalid. */
    FLUSH,
    /** A share of the invocations is for functions invoked only once. */
    SCAN,
    /** A zone dies and comes back cold. */
    ZONE_LOSS,
    /** Hosts die together and come back cold. */
    MASS_RESTART,
    /** Hosts grow slower and slower, die, and come back cold. */
    AGEING,
    /** Gateways are killed and come back without state. */
    GATEWAY_CRASH,
    /** Gateways stand still. */
    GATEWAY_STALL,
    /** Clients have short deadlines, or cancel before they are over. */
    GIVE_UP,
    /** Clients close their connections while responses are outstanding, and come back. */
    HANG_UP,
    /** Clients go on sending and read no responses for a time. */
    SLOW_READER,
    /** The store is slow, and stops for a time in the middle. */
    STORE_SLOW,
    /** Load reports are stale. */
    REPORT_LATE,
    /** Responses break off with their connection. */
    RESET,
    /** Half of a response arrives, and then nothing. */
    HALF_ANSWER,
    /** Responses have a wrong id. */
    WRONG_ID,
    /** Hosts reject everything as full. */
    FULL,
    /**
     * Some gateways and some hosts can't reach each other. Simulation only, as all that follow but
     * the registry's.
     */
    PARTITION,
    /** What those hosts send does not reach those gateways; the other way round it does. */
    ONE_WAY,
    /** The network between gateways and some hosts is slower by a factor. */
    NET_SLOW,
    /** A share of the messages between gateways and some hosts is lost and sent again. */
    NET_LOSS,
    /** Hosts lose power: no connection is closed, none is refused; later they come back cold. */
    POWER,
    /** The gateways' disks are full. */
    DISK_FULL,
    /** The gateways' disks change a bit of what they write. */
    DISK_ROT,
    /** The registry's connections break, and it compacts its history. */
    REGISTRY_COMPACT,
    /** The registry is down for a time. */
    REGISTRY_RESTART,
    /** The registry comes back empty, as another cluster; hosts register again one by one. */
    REGISTRY_EMPTY;

    /** Whether it needs a simulated network or disk. */
    public boolean needsVirtualTime() {
      return ordinal() >= PARTITION.ordinal() && ordinal() <= DISK_ROT.ordinal();
    }

    /** Whether it needs a scenario with a registry. */
    public boolean needsRegistry() {
      return name().startsWith("REGISTRY") || name().startsWith("DISK");
    }
  }
}
