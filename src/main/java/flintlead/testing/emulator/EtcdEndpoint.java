package flintlead.testing.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import flintlead.time.Span;
import flintlead.transport.http.HttpServerConnection;
import flintlead.transport.loop.EventExecutor;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Serves etcd's v3 JSON gateway from an emulated registry. On the registry's loop. */
final class EtcdEndpoint {

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int GRPC_INVALID_ARGUMENT = 3;
  private static final int GRPC_NOT_FOUND = 5;
  private static final int GRPC_OUT_OF_RANGE = 11;
  private static final long MICROS_PER_SECOND = 1_000_000;

  private final RegistryEmulator registry;
  private final RegistryStore store;
  private final EtcdJson json;
  private final EtcdLeases leases;
  private final EtcdWatches watches;

  EtcdEndpoint(RegistryEmulator registry, RegistryStore store, EventExecutor loop) {
    this.registry = registry;
    this.store = store;
    this.json = new EtcdJson(store);
    this.leases = new EtcdLeases(loop);
    this.watches = new EtcdWatches(registry, store, json);
  }

  EtcdWatches watches() {
    return watches;
  }

  EtcdLeases leases() {
    return leases;
  }

  // ---- requests ----

  /**
   * Serves a request; returns false where the path is none of etcd's.
   *
   * @throws IOException for a body that is no JSON
   * @throws IllegalArgumentException for a member that can't be decoded
   */
  boolean serve(HttpServerConnection connection, String path, String body) throws IOException {
    JsonNode request =
        body.isEmpty() ? json.mapper().createObjectNode() : json.mapper().readTree(body);
    switch (path) {
      case "/v3/kv/range" -> range(connection, request);
      case "/v3/watch" -> {
        JsonNode create = request.path("create_request");
        watches.create(connection, EtcdJson.range(create), create.path("start_revision").asLong());
      }
      case "/v3/kv/put" -> put(connection, request);
      case "/v3/kv/deleterange" -> {
        registry.delete(EtcdJson.text(request, "key"));
        respond(connection, json.header());
      }
      case "/v3/lease/grant" -> grantLease(connection, request);
      case "/v3/lease/keepalive" -> renewLease(connection, request);
      default -> {
        return false;
      }
    }
    return true;
  }

  static void respondMalformed(HttpServerConnection connection, Exception e) {
    respondError(connection, "malformed request: " + e.getMessage(), GRPC_INVALID_ARGUMENT);
  }

  private static void respond(HttpServerConnection connection, ObjectNode response) {
    connection.respond(OK, Map.of(), response.toString());
  }

  private static void respondError(HttpServerConnection connection, String message, int grpcCode) {
    connection.respond(
        BAD_REQUEST,
        Map.of(),
        "{\"error\":\""
            + message
            + "\",\"code\":"
            + grpcCode
            + ",\"message\":\""
            + message
            + "\"}");
  }

  private void put(HttpServerConnection connection, JsonNode request) {
    long lease = request.path("lease").asLong();
    String key = EtcdJson.text(request, "key");
    if (lease != 0 && !leases.exists(lease)) {
      respondError(connection, "etcdserver: requested lease not found", GRPC_NOT_FOUND);
      return;
    }
    if (lease != 0) {
      leases.bind(lease, key);
    }
    registry.commit(Map.of(key, EtcdJson.text(request, "value")), lease);
    respond(connection, json.header());
  }

  private void range(HttpServerConnection connection, JsonNode request) {
    long revision = request.path("revision").asLong();
    if (revision > 0 && revision < store.compacted()) {
      respondError(
          connection, "etcdserver: mvcc: required revision has been compacted", GRPC_OUT_OF_RANGE);
      return;
    }
    long limit = request.path("limit").asLong();
    EtcdKeyRange range = EtcdJson.range(request);
    ObjectNode response = json.header();
    ArrayNode entries = response.putArray("kvs");
    boolean more = false;
    Map<String, RegistryStore.Entry> keys = revision > 0 ? store.keysAt(revision) : store.keys();
    for (Map.Entry<String, RegistryStore.Entry> each : keys.entrySet()) {
      if (range.contains(each.getKey())) {
        if (limit > 0 && entries.size() >= limit) {
          more = true;
          break;
        }
        RegistryStore.Entry entry = each.getValue();
        EtcdJson.writeKeyValue(entries.addObject(), each.getKey(), entry.value(), entry.revision());
      }
    }
    response.put("more", more).put("count", Integer.toString(entries.size()));
    respond(connection, response);
  }

  // ---- leases ----

  private void grantLease(HttpServerConnection connection, JsonNode request) {
    long id = leases.grant(Span.ofMillis(request.path("TTL").asLong() * 1000.0));
    respond(
        connection,
        json.header().put("ID", Long.toString(id)).put("TTL", request.path("TTL").asText()));
  }

  private void renewLease(HttpServerConnection connection, JsonNode request) {
    Span timeToLive = leases.renew(request.path("ID").asLong());
    ObjectNode result =
        json.header()
            .put("ID", request.path("ID").asText())
            .put("TTL", Long.toString(timeToLive.micros() / MICROS_PER_SECOND));
    connection.respond(OK, Map.of(), json.resultLine(result));
  }

  /** Deletes the keys whose leases have expired. */
  void expireLeases() {
    leases
        .removeExpired()
        .forEach(
            (lease, bound) -> {
              Map<String, String> deletions = new HashMap<>();
              for (String key : bound) {
                RegistryStore.Entry entry = store.keys().get(key);
                if (entry != null && entry.lease() == lease) {
                  deletions.put(key, null);
                }
              }
              registry.commit(deletions);
            });
  }
}
