package flintlead.routing.pool;

import java.util.List;

/**
 * A subset of the hosts, with limits.
 *
 * @param name unique in a layout
 * @param selector selects the hosts that belong to it
 * @param minReadyHosts with fewer ready hosts than this its invocations are spilled, if another
 *     pool accepts them
 * @param maxInFlight maximum number of invocations in flight; further ones are spilled or throttled
 * @param spillTo names of the pools that spilled invocations are offered to, in order of preference
 */
public record Pool(
    String name, Selector selector, int minReadyHosts, int maxInFlight, List<String> spillTo) {

  /** Largest allowed {@code maxInFlight}, and that of a pool without a limit of its own. */
  public static final int MAX_IN_FLIGHT = 1_000_000;

  public Pool {
    spillTo = List.copyOf(spillTo);
  }

  /** Returns a pool without limits that does not spill. */
  public static Pool of(String name, Selector hosts) {
    return new Pool(name, hosts, 1, MAX_IN_FLIGHT, List.of());
  }
}
