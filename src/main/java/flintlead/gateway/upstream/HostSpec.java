package flintlead.gateway.upstream;

import flintlead.scheduling.api.HostEntry;
import flintlead.time.Moment;
import flintlead.transport.loop.Address;
import java.util.List;

/**
 * An entry of the host list.
 *
 * @param name the host's unique name; its numeric id is a hash of it
 * @param addresses the host's addresses, the preferred one first
 * @param zone the host's zone
 * @param cell the cell within the zone
 * @param kind the kind of host, by which pools may select hosts
 * @param state the host's state according to the list
 * @param startedAt when the host's process started; zero for the distant past
 * @param weight the host's capacity relative to other hosts
 */
public record HostSpec(
    String name,
    List<Address> addresses,
    int zone,
    int cell,
    int kind,
    HostEntry.State state,
    Moment startedAt,
    double weight) {

  /** The most addresses of a host; the reader of the host list rejects longer ones. */
  public static final int MAX_ADDRESSES = 16;

  /** Throws IllegalArgumentException if there are no addresses, too many, or duplicates. */
  public HostSpec {
    addresses = List.copyOf(addresses);
    boolean distinct = addresses.stream().distinct().count() == addresses.size();
    if (addresses.isEmpty() || addresses.size() > MAX_ADDRESSES || !distinct) {
      throw new IllegalArgumentException(
          "host '" + name + "' needs 1 to " + MAX_ADDRESSES + " addresses, each once");
    }
  }

  /** A ready host of weight 1 that started in the distant past. */
  public static HostSpec ready(String name, Address... addresses) {
    return new HostSpec(name, List.of(addresses), 0, 0, 0, HostEntry.State.READY, new Moment(0), 1);
  }

  /** A copy with another zone and cell. */
  public HostSpec withLocation(int zone, int cell) {
    return new HostSpec(name, addresses, zone, cell, kind, state, startedAt, weight);
  }

  /** A copy with another state. */
  public HostSpec withState(HostEntry.State state) {
    return new HostSpec(name, addresses, zone, cell, kind, state, startedAt, weight);
  }

  /** A copy with another process start time. */
  public HostSpec startedAt(Moment startedAt) {
    return new HostSpec(name, addresses, zone, cell, kind, state, startedAt, weight);
  }
}
