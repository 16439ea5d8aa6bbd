package flintlead.testing.emulator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import flintlead.time.Span;
import flintlead.transport.http.HttpServerConnection;
import flintlead.transport.loop.EventExecutor;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Serves Consul's blocking queries from an emulated registry. On the registry's loop. */
final class ConsulEndpoint {

  private static final String PATH = "/v1/kv/";
  private static final long DEFAULT_WAIT_MS = 300_000;

  /** A query that waits for the index to pass. */
  private record BlockedQuery(
      HttpServerConnection connection, String prefix, long index, Runnable timer) {}

  private final RegistryEmulator registry;
  private final RegistryStore store;
  private final EventExecutor loop;
  private final ObjectMapper mapper = new ObjectMapper();
  private final List<BlockedQuery> blocked = new ArrayList<>();

  ConsulEndpoint(RegistryEmulator registry, RegistryStore store, EventExecutor loop) {
    this.registry = registry;
    this.store = store;
    this.loop = loop;
  }

  /** Serves a request; returns false where the path is none of Consul's. */
  boolean serve(HttpServerConnection connection, String uri) {
    if (!uri.startsWith(PATH)) {
      return false;
    }
    String rest = uri.substring(PATH.length());
    String prefix = URLDecoder.decode(rest.split("\\?")[0], StandardCharsets.UTF_8);
    long index = 0;
    long waitMs = DEFAULT_WAIT_MS;
    for (String pair : rest.substring(rest.indexOf('?') + 1).split("&")) {
      if (pair.startsWith("index=")) {
        index = Long.parseLong(pair.substring("index=".length()));
      } else if (pair.startsWith("wait=")) {
        waitMs = Long.parseLong(pair.substring("wait=".length()).replace("ms", ""));
      }
    }
    if (index == 0 || store.revision() != index) {
      respond(connection, prefix);
    } else {
      block(connection, prefix, index, waitMs);
    }
    return true;
  }

  private void block(HttpServerConnection connection, String prefix, long index, long waitMs) {
    Runnable timer =
        loop.scheduleAfter(
            Span.ofMillis(waitMs),
            () -> {
              if (blocked.removeIf(each -> each.connection == connection)) {
                respond(connection, prefix);
              }
            });
    blocked.add(new BlockedQuery(connection, prefix, index, timer));
  }

  /** Answers the queries whose index has passed. */
  void answerPassed() {
    for (BlockedQuery query : new ArrayList<>(blocked)) {
      if (store.revision() > query.index) {
        blocked.remove(query);
        query.timer.run();
        respond(query.connection, query.prefix);
      }
    }
  }

  private void respond(HttpServerConnection connection, String prefix) {
    boolean stale = registry.staleRevisions > 0;
    long index = Math.max(1, store.revision() - registry.staleRevisions);
    Map<String, RegistryStore.Entry> keys = stale ? store.keysAt(index) : store.keys();
    ArrayNode entries = mapper.createArrayNode();
    keys.forEach(
        (key, entry) -> {
          if (key.startsWith(prefix)) {
            entries
                .addObject()
                .put("Key", key)
                .put("Value", EtcdJson.base64(entry.value()))
                .put("ModifyIndex", entry.revision())
                .put("CreateIndex", entry.revision())
                .put("LockIndex", 0)
                .put("Flags", 0);
          }
        });
    Map<String, String> headers =
        Map.of(
            "X-Consul-Index",
            Long.toString(index),
            "X-Consul-KnownLeader",
            "true",
            "X-Consul-LastContact",
            stale ? "900" : "0");
    connection.respond(
        entries.isEmpty() ? 404 : 200, headers, entries.isEmpty() ? "" : entries.toString());
  }

  void disconnected(HttpServerConnection connection) {
    blocked.removeIf(each -> each.connection == connection);
  }
}
