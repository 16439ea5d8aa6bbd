package flintlead.testing.emulator;

import flintlead.discovery.watch.KeyChange;
import flintlead.time.Span;
import flintlead.transport.http.HttpServerConnection;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.loop.Transport;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Emulates a registry that serves the etcd v3 JSON gateway and Consul's blocking queries from one
 * store, with faults by script: it compacts, drops connections, fragments and repeats events, lags,
 * goes back in revisions and comes back as another cluster. On its event loop, but for what says
 * otherwise.
 */
public final class RegistryEmulator implements HttpServerConnection.Handler {

  /**
   * One revision, for checkers to compare with what a client applied.
   *
   * @param cluster id of the cluster that made it
   */
  public record CommittedRevision(String cluster, long revision, List<KeyChange> changes) {}

  private static final Span LEASE_CHECK_INTERVAL = Span.ofMillis(50);
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final int NOT_FOUND = 404;

  private final EventExecutor loop;
  private final Transport transport;
  private final RegistryStore store = new RegistryStore();
  private final EtcdEndpoint etcd;
  private final ConsulEndpoint consul;
  private final Set<HttpServerConnection> connections = new LinkedHashSet<>();
  private Address address;
  private Transport.ListeningSocket listening;
  private boolean up;

  /** Every revision ever made, of all clusters. */
  public final List<CommittedRevision> history = store.history();

  /** Requests received. */
  public long requests;

  /** Requests received in each second of the loop's clock, to see storms. */
  public final Map<Long, Integer> requestsPerSecond = new TreeMap<>();

  /** The most changes of one revision in one watch event; 0 for no limit. */
  public int fragmentSize;

  /** A new watch first receives so many revisions again. */
  public int replayedRevisions;

  /** Watches are notified of changes this much later. */
  public Span watchDelay = Span.ZERO;

  /** Consul's responses are so many revisions behind and say so. */
  public int staleRevisions;

  /** A registry that is not started yet. */
  public <L extends EventExecutor & Transport> RegistryEmulator(Address address, L eventLoop) {
    this.address = address;
    this.loop = eventLoop;
    this.transport = eventLoop;
    this.etcd = new EtcdEndpoint(this, store, eventLoop);
    this.consul = new ConsulEndpoint(this, store, eventLoop);
  }

  /** Listens. Not from its event loop, as it waits for the port. */
  public void start() throws IOException {
    listening = transport.listen(address, this::accept);
    address = listening.address();
    loop.execute(
        () -> {
          if (!up) {
            up = true;
            expireLeases();
          }
        });
  }

  /** Where it listens; with the port that was chosen, once it was started. */
  public Address address() {
    return address;
  }

  /** The current revision. */
  public long revision() {
    return store.revision();
  }

  /** The id of the cluster. */
  public String cluster() {
    return store.cluster();
  }

  /** All values by key. */
  public Map<String, String> contents() {
    Map<String, String> values = new TreeMap<>();
    store.keys().forEach((key, entry) -> values.put(key, entry.value()));
    return values;
  }

  // ---- changes ----

  /** Makes the changes as one revision; a value of null deletes. */
  public void commit(Map<String, String> changes) {
    commit(changes, 0);
  }

  /** The same for keys that are bound to a lease. */
  void commit(Map<String, String> changes, long lease) {
    if (!store.commit(changes, lease)) {
      return;
    }
    if (watchDelay.micros() > 0) {
      loop.scheduleAfter(watchDelay, this::notifyClients);
    } else {
      notifyClients();
    }
  }

  /** Writes one key. */
  public void put(String key, String value) {
    commit(Map.of(key, value));
  }

  /** Deletes one key. */
  public void delete(String key) {
    Map<String, String> change = new HashMap<>();
    change.put(key, null);
    commit(change);
  }

  private void notifyClients() {
    if (up) {
      etcd.watches().sendAll();
      consul.answerPassed();
    }
  }

  private void expireLeases() {
    if (up) {
      etcd.expireLeases();
      loop.scheduleAfter(LEASE_CHECK_INTERVAL, this::expireLeases);
    }
  }

  // ---- faults ----

  /** Forgets the revisions before the given one. */
  public void compact(long before) {
    store.compact(before);
  }

  /** Breaks every connection. */
  public void dropConnections() {
    new ArrayList<>(connections).forEach(HttpServerConnection::abort);
  }

  /**
   * Its process dies and comes back.
   *
   * @param downtime until it is back
   * @param empty whether it comes back without keys, as another cluster
   */
  public void restart(Span downtime, boolean empty) {
    up = false;
    dropConnections();
    loop.scheduleAfter(
        downtime,
        () -> {
          up = true;
          if (empty) {
            store.becomeEmptyCluster();
            etcd.leases().clear();
          }
          expireLeases();
        });
  }

  /** Goes back to what it held at a revision, as from an old backup, under the same cluster id. */
  public void restoreTo(long to) {
    store.restoreTo(to);
    dropConnections();
  }

  /** Ends every watch with a reason. */
  public void cancelWatches(String why) {
    etcd.watches().cancelAll(why);
  }

  /** Tells every watch that has all revisions how far it is. */
  public void sendProgress() {
    etcd.watches().sendProgress();
  }

  // ---- connections and requests ----

  private StreamListener accept(Stream stream) {
    HttpServerConnection connection = new HttpServerConnection(stream, this);
    if (up) {
      connections.add(connection);
      return connection;
    }
    return new StreamListener() {
      @Override
      public void opened() {
        stream.abort();
      }

      @Override
      public void received(ByteBuf bytes) {
        stream.abort();
      }

      @Override
      public void closed(String why) {
        connection.closed(why);
      }
    };
  }

  @Override
  public void disconnected(HttpServerConnection connection) {
    connections.remove(connection);
    etcd.watches().disconnected(connection);
    consul.disconnected(connection);
  }

  @Override
  public void request(HttpServerConnection connection, String method, String uri, String body) {
    requests++;
    requestsPerSecond.merge(loop.now().micros() / MICROS_PER_SECOND, 1, Integer::sum);
    try {
      if (!etcd.serve(connection, uri.split("\\?")[0], body) && !consul.serve(connection, uri)) {
        connection.respond(NOT_FOUND, Map.of(), "{}");
      }
    } catch (IOException | IllegalArgumentException e) {
      EtcdEndpoint.respondMalformed(connection, e);
    }
  }
}
