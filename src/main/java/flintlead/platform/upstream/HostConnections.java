package flintlead.platform.upstream;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * The connections of one pool, open or being opened, and the choice of a connection for a request.
 */
final class HostConnections {

  private final List<HostConnection> connections = new ArrayList<>();
  private int connecting;

  /** Adds a connection that is being opened. */
  void add(HostConnection connection) {
    connections.add(connection);
    connecting++;
  }

  /** Called when a connection has opened. */
  void opened() {
    connecting--;
  }

  /** Removes a connection that has ended. */
  void remove(HostConnection connection) {
    connections.remove(connection);
    if (!connection.hasOpened()) {
      connecting--;
    }
  }

  /** Number of connections, open or being opened. */
  int size() {
    return connections.size();
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  /** Number of connections being opened. */
  int connecting() {
    return connecting;
  }

  boolean hasOpen() {
    return connections.stream().anyMatch(HostConnection::isOpen);
  }

  /** A copy that does not change when connections end. */
  List<HostConnection> copy() {
    return List.copyOf(connections);
  }

  /** The most recently used idle connection that accepts the request; null if there is none. */
  HostConnection idleFor(Request request) {
    return select(request, true);
  }

  /**
   * The connection with the fewest requests in flight that accepts the request; null if there is
   * none.
   */
  HostConnection leastLoadedFor(Request request) {
    return select(request, false);
  }

  private HostConnection select(Request request, boolean onlyIdle) {
    HostConnection best = null;
    for (HostConnection connection : connections) {
      if (connection.accepts(request)
          && (!onlyIdle || connection.isIdle())
          && (best == null || isPreferred(connection, best))) {
        best = connection;
      }
    }
    return best;
  }

  private static boolean isPreferred(HostConnection connection, HostConnection best) {
    return connection.inFlightCount() < best.inFlightCount()
        || connection.inFlightCount() == best.inFlightCount()
            && connection.lastUsedAt().isAfter(best.lastUsedAt());
  }

  /** The first connection that accepts requests; null if there is none. */
  HostConnection anyAccepting() {
    for (HostConnection connection : connections) {
      if (connection.acceptsRequests()) {
        return connection;
      }
    }
    return null;
  }

  /** Closes connections that have no request in flight. */
  void closeIdle() {
    for (HostConnection connection : copy()) {
      if (connection.isIdle()) {
        connection.close();
      }
    }
  }

  /** Aborts connections with unsent bytes, so that these bytes do not reach the host. */
  void discardUnsentBytes() {
    for (HostConnection connection : copy()) {
      if (connection.hasUnsentBytes()) {
        connection.discardUnsentBytes();
      }
    }
  }

  /**
   * Closes connections that have been idle for longer than the timeout, and those on which a
   * response was cut off in the middle.
   */
  void maintain(Moment now, Span idleTimeout) {
    for (HostConnection connection : copy()) {
      connection.checkPartialResponse(now);
      if (connection.isIdle() && now.since(connection.lastUsedAt()).isLongerThan(idleTimeout)) {
        connection.close();
      }
    }
  }

  /** The connection that has been idle the longest; null if none is idle. */
  HostConnection longestIdle() {
    HostConnection longest = null;
    for (HostConnection connection : connections) {
      if (connection.isIdle()
          && (longest == null || connection.lastUsedAt().isBefore(longest.lastUsedAt()))) {
        longest = connection;
      }
    }
    return longest;
  }
}
