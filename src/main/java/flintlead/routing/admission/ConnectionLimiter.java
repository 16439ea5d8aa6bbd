package flintlead.routing.admission;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the number of a front's client connections. At the limit, the connection that has been
 * idle longest is closed for a new one, if it has been idle long enough; a connection with
 * invocations in flight is never closed for that. Pure; not thread-safe: used on the front's event
 * loop.
 *
 * @param <C> type of the connections
 */
public final class ConnectionLimiter<C> {

  /** A connection and the time since which it has been idle. */
  public final class TrackedConnection {
    private final C connection;
    private Moment idleSince;

    private TrackedConnection(C connection, Moment now) {
      this.connection = connection;
      this.idleSince = now;
    }

    /** The connection itself. */
    public C connection() {
      return connection;
    }
  }

  private final int maxConnections;
  private final Span minIdleTime;

  /** The idle connections, in order of idle time, longest first. */
  private final Set<TrackedConnection> idle = new LinkedHashSet<>();

  private int connections;

  /**
   * @param maxConnections maximum number of open connections
   * @param minIdleTime how long a connection must have been idle before it may be closed for a new
   *     one
   */
  public ConnectionLimiter(int maxConnections, Span minIdleTime) {
    this.maxConnections = maxConnections;
    this.minIdleTime = minIdleTime;
  }

  /**
   * Whether one more connection may be accepted. If {@link #evictionCandidate} returns a
   * connection, that one must be closed first.
   */
  public boolean canAccept(Moment now) {
    return connections < maxConnections || evictionCandidate(now) != null;
  }

  /**
   * Returns the idle connection that must be closed before another one is accepted; null if the
   * limit is not reached, or no connection may be closed.
   */
  public TrackedConnection evictionCandidate(Moment now) {
    if (connections < maxConnections || idle.isEmpty()) {
      return null;
    }
    TrackedConnection longestIdle = idle.iterator().next();
    return now.since(longestIdle.idleSince).isShorterThan(minIdleTime) ? null : longestIdle;
  }

  /** Adds a connection that is idle from now on. */
  public TrackedConnection add(C connection, Moment now) {
    TrackedConnection tracked = new TrackedConnection(connection, now);
    connections++;
    idle.add(tracked);
    return tracked;
  }

  /** Records whether the connection has invocations in flight. */
  public void setBusy(TrackedConnection connection, boolean busy, Moment now) {
    if (busy) {
      idle.remove(connection);
    } else if (idle.add(connection)) {
      connection.idleSince = now;
    }
  }

  /** Removes a closed connection; must be called exactly once for each connection. */
  public void remove(TrackedConnection connection) {
    connections--;
    idle.remove(connection);
  }

  /** Number of connections. */
  public int connectionCount() {
    return connections;
  }
}
