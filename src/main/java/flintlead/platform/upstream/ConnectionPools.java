package flintlead.platform.upstream;

import flintlead.routing.admission.SharedByteLimit;
import flintlead.routing.guard.HostSendGuard;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.dial.ConnectionBudget;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.IsolatedLoop;
import flintlead.transport.loop.RepeatingTask;
import flintlead.transport.loop.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;

/**
 * The connection pools of all hosts, with a common limit on the number of their connections. Used
 * on the event loop only.
 */
public final class ConnectionPools {

  private static final Span MAINTENANCE_INTERVAL = Span.ofMillis(50);
  private static final double MAX_CONNECTS_PER_SECOND = 2_000;

  /** Maximum connections to one host. A gateway usually has fewer concurrent invocations there. */
  private static final int MAX_CONNECTIONS_PER_HOST = 32;

  private static final int MIN_CONNECTIONS_PER_HOST = 2;

  private final HostConnectionLimits limits;
  private final EventExecutor loop;
  private final Transport transport;
  private final HostSendGuard guard;
  private final Logger log;
  private final ConnectionBudget budget;
  private final Map<Long, ConnectionPool> pools = new TreeMap<>();

  /** The pool of the host that the list has named last at each address. */
  private final Map<Address, ConnectionPool> latestAt = new HashMap<>();

  /**
   * Pools of removed hosts, kept until their last connection has ended. Contains several pools of a
   * host that was removed more than once.
   */
  private final List<ConnectionPool> removed = new ArrayList<>();

  private final SharedByteLimit<HostConnection> partialResponses;
  private int connections;
  private int deferredSends;
  private int unrequestedResponses;

  /**
   * Creates an instance without pools and starts the regular maintenance.
   *
   * @param limits limits of the connections
   * @param guard decides at the moment of writing whether new work may be sent
   * @param log receives {@code host_response_malformed}
   */
  public ConnectionPools(
      HostConnectionLimits limits,
      EventExecutor loop,
      Transport transport,
      HostSendGuard guard,
      Logger log) {
    this.limits = limits;
    this.loop = loop;
    this.transport = transport;
    this.guard = guard;
    this.log = log;
    this.partialResponses = new SharedByteLimit<>(limits.partialResponseBytes());
    this.budget = new ConnectionBudget(limits.maxConnections(), MAX_CONNECTS_PER_SECOND);
    RepeatingTask.start(loop, MAINTENANCE_INTERVAL, this::maintain);
  }

  private void maintain() {
    Moment now = loop.now();
    IsolatedLoop.forEach(pools.values(), pool -> pool.maintain(now), this::logFault);
    IsolatedLoop.forEach(removed, pool -> pool.maintain(now), this::logFault);
    removed.removeIf(ConnectionPool::isEmpty);
  }

  private void logFault(RuntimeException cause) {
    log.atError().setCause(cause).log("host_maintenance_failed");
  }

  /** Counts a response that no request awaits: it is late, a duplicate, or was never asked for. */
  void countUnrequestedResponse() {
    unrequestedResponses++;
  }

  /** Returns the number of responses that no request awaited since the last call. */
  public int takeUnrequestedResponses() {
    int taken = unrequestedResponses;
    unrequestedResponses = 0;
    return taken;
  }

  /** Counts requests that were deferred until the next poll of the sockets. */
  void countDeferredSend() {
    deferredSends++;
  }

  /**
   * Returns and resets the number of times that requests were deferred until the next poll of the
   * sockets.
   */
  public int takeDeferredSends() {
    int count = deferredSends;
    deferredSends = 0;
    return count;
  }

  /** The pool of a host; null if the host is not listed. */
  public ConnectionPool get(long host) {
    return pools.get(host);
  }

  /**
   * Adds or updates a listed host. A different address or a later start time means a new process:
   * the existing connections lead to the old one, which gets no new requests.
   */
  public void update(long host, String name, Address address, Moment startedAt, boolean draining) {
    ConnectionPool pool = pools.get(host);
    if (pool != null && (!pool.address().equals(address) || startedAt.isAfter(pool.startedAt()))) {
      remove(host);
      pool = null;
    }
    if (pool == null) {
      pool = new ConnectionPool(this, host, name, address, startedAt);
      pools.put(host, pool);
      latestAt.put(address, pool);
    }
    if (draining) {
      pool.drain();
    } else {
      pool.activate();
    }
  }

  /** Whether the list has named another host at the host's address since it named this one. */
  boolean isAddressReused(ConnectionPool pool) {
    ConnectionPool latest = latestAt.get(pool.address());
    return latest != null && latest != pool;
  }

  /** Removes a host that is no longer listed. Requests in flight there may finish. */
  public void remove(long host) {
    ConnectionPool pool = pools.remove(host);
    if (pool != null) {
      latestAt.remove(pool.address(), pool);
      pool.remove();
      guard.leases().forget(host);
      removed.add(pool);
    }
  }

  /** Number of connections to all hosts, open or being opened. */
  public int connections() {
    return connections;
  }

  HostConnectionLimits limits() {
    return limits;
  }

  EventExecutor loop() {
    return loop;
  }

  Transport transport() {
    return transport;
  }

  /**
   * Records the memory that a partial response occupies. Above the limit, the partial responses
   * that began first end their connections: hosts write a response at once.
   */
  void recordPartialResponse(HostConnection connection, int bytes) {
    partialResponses.record(connection, bytes);
    while (partialResponses.isExceeded()) {
      partialResponses.longestHolder().discardPartialResponse();
    }
  }

  void logMalformedResponse(String hostName, String reason) {
    log.atWarn()
        .addKeyValue("host", hostName)
        .addKeyValue("reason", reason)
        .log("host_response_malformed");
  }

  /** The guard that decides at the moment of writing whether new work may be sent. */
  public HostSendGuard guard() {
    return guard;
  }

  /** The name of a host, or its ID in hexadecimal if it is not listed. */
  public String hostName(long host) {
    ConnectionPool pool = pools.get(host);
    return pool == null ? Long.toHexString(host) : pool.hostName();
  }

  /**
   * Acquires permission to open one more connection. If the limit is reached, an idle connection of
   * another pool is closed to make room.
   */
  boolean tryAcquireConnection(ConnectionPool pool) {
    Moment now = loop.now();
    if (budget.tryAcquire(now, connections)) {
      return true;
    }
    if (budget.shouldCloseIdle(now, connections)) {
      closeLongestIdle(pool);
      return budget.tryAcquire(now, connections);
    }
    return false;
  }

  /**
   * Called when the process has run out of file descriptors: opens no connections for a short time
   * and closes the one that has been idle the longest.
   */
  void descriptorsExhausted() {
    budget.descriptorsExhausted(loop.now());
    closeLongestIdle(null);
  }

  private void closeLongestIdle(ConnectionPool except) {
    HostConnection longest = null;
    for (ConnectionPool pool : pools.values()) {
      HostConnection idle = pool == except ? null : pool.longestIdle();
      if (idle != null && (longest == null || idle.lastUsedAt().isBefore(longest.lastUsedAt()))) {
        longest = idle;
      }
    }
    if (longest != null) {
      longest.close();
    }
  }

  /**
   * Maximum connections to each host: twice an equal share of the total, within fixed bounds, so
   * that one host with problems cannot take all connections.
   */
  int maxConnectionsPerHost() {
    int share = 2 * limits.maxConnections() / Math.max(1, pools.size());
    return Math.max(MIN_CONNECTIONS_PER_HOST, Math.min(MAX_CONNECTIONS_PER_HOST, share));
  }

  void connectionAdded() {
    connections++;
  }

  void connectionRemoved() {
    connections--;
  }
}
