package flintlead.gateway.upstream;

import flintlead.time.Moment;
import flintlead.transport.dial.AddressSelector;
import flintlead.transport.loop.Address;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.BooleanSupplier;

/** The connections to one host; selects the one on which a request is sent. */
final class ConnectionSet implements Iterable<Connection> {

  private final AddressSelector<Address> addresses;
  private final BooleanSupplier hasOtherAddresses;
  private final List<Connection> connections = new ArrayList<>();

  /** Creates an empty set; the supplier returns whether the host has more than one address. */
  ConnectionSet(AddressSelector<Address> addresses, BooleanSupplier hasOtherAddresses) {
    this.addresses = addresses;
    this.hasOtherAddresses = hasOtherAddresses;
  }

  void add(Connection connection) {
    connections.add(connection);
  }

  void remove(Connection connection) {
    connections.remove(connection);
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  int size() {
    return connections.size();
  }

  @Override
  public Iterator<Connection> iterator() {
    return connections.iterator();
  }

  /** A copy to iterate over while connections close. */
  List<Connection> snapshot() {
    return new ArrayList<>(connections);
  }

  /** The connection with the fewest requests on the best address; null if none accepts any. */
  Connection best() {
    List<Address> responsive = responsiveAddresses();
    boolean onlyAddress = !hasOtherAddresses.getAsBoolean();
    Connection best = null;
    for (Connection connection : connections) {
      if (connection.acceptsRequests(onlyAddress)
          && addresses.mayServe(connection.address(), responsive)
          && (best == null || isBetter(connection, best))) {
        best = connection;
      }
    }
    return best;
  }

  private boolean isBetter(Connection one, Connection other) {
    int rank = addresses.rank(one.address());
    int otherRank = addresses.rank(other.address());
    return rank < otherRank
        || rank == otherRank && one.requestsInFlight() < other.requestsInFlight();
  }

  /** Addresses of the established connections that are not suspect, one entry a connection. */
  private List<Address> responsiveAddresses() {
    List<Address> responsive = new ArrayList<>(connections.size());
    for (Connection connection : connections) {
      if (connection.isEstablished() && !connection.isSuspect()) {
        responsive.add(connection.address());
      }
    }
    return responsive;
  }

  /** Addresses of the connections that are being opened or take requests, one entry each. */
  List<Address> addressesInUse() {
    List<Address> inUse = new ArrayList<>(connections.size());
    for (Connection connection : connections) {
      if (connection.isConnectingOrReady()) {
        inUse.add(connection.address());
      }
    }
    return inUse;
  }

  /** When the longest idle connection was last used; null if no connection is idle. */
  Moment idleSince() {
    Moment oldest = null;
    for (Connection connection : connections) {
      if (connection.isIdle()) {
        oldest = oldest == null ? connection.usedAt() : Moment.earlier(oldest, connection.usedAt());
      }
    }
    return oldest;
  }

  /** Closes the longest idle connection, if any connection is idle. */
  void closeLongestIdle() {
    Moment oldest = idleSince();
    for (Connection connection : snapshot()) {
      if (connection.isIdle() && connection.usedAt().equals(oldest)) {
        connection.drain();
        return;
      }
    }
  }

  /** Pings the host on every established connection. */
  void pingAll() {
    connections.stream().filter(Connection::isEstablished).toList().forEach(Connection::ping);
  }
}
