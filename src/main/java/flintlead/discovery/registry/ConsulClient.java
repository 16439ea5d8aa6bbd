package flintlead.discovery.registry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import flintlead.discovery.watch.KeyChange;
import flintlead.discovery.watch.RegistryWatcher;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Transport;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.function.Function;

/**
 * Consul's key-value store by blocking queries (its HTTP API, "KV Store" and "Blocking Queries"): a
 * query with the last index is answered when that has changed, or after the wait, with everything
 * under the prefix. An index that is not above zero is invalid; one that goes down means to begin
 * anew. There is no cluster id.
 */
final class ConsulClient extends RegistryClient {

  /** Stands for the cluster id that this protocol lacks. */
  private static final String NO_CLUSTER = "consul";

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final long MICROS_PER_MILLI = 1_000;

  private final ObjectMapper json = new ObjectMapper();

  ConsulClient(
      EventExecutor loop,
      Transport transport,
      RegistryConfig config,
      RegistryWatcher watcher,
      int firstEndpoint) {
    super(loop, transport, config, watcher, firstEndpoint);
  }

  /** Receives a response that has been parsed. */
  private interface EntriesReader {

    /**
     * Takes everything under the prefix.
     *
     * @param stale whether it comes from a server that may lag
     */
    void accept(long index, List<KeyChange> entries, boolean stale);
  }

  private String path(String parameters) {
    return "/v1/kv/"
        + URLEncoder.encode(config().prefix(), StandardCharsets.UTF_8).replace("%2F", "/")
        + "?recurse=true"
        + parameters;
  }

  @Override
  void read(long attempt, String after, long revision) {
    send(
        attempt,
        "GET",
        path("&consistent=true"),
        null,
        config().requestTimeout(),
        reader(
            attempt,
            (index, entries, stale) ->
                watcher()
                    .onReadPage(attempt, NO_CLUSTER, index, entries, false, stale, loop().now())));
  }

  @Override
  void watch(long attempt, long from) {
    // The server's wait ends well before this side takes the connection for dead.
    long waitMillis = Math.max(1, config().watchIdleTimeout().micros() * 3 / 4 / MICROS_PER_MILLI);
    send(
        attempt,
        "GET",
        path("&index=" + (from - 1) + "&wait=" + waitMillis + "ms"),
        null,
        config().watchIdleTimeout(),
        reader(
            attempt,
            (index, entries, stale) ->
                watcher()
                    .onFullResponse(attempt, NO_CLUSTER, index, entries, stale, loop().now())));
  }

  private ResponseReader reader(long attempt, EntriesReader next) {
    return (status, header, body) -> {
      long index = index(header);
      if (status != OK && status != NOT_FOUND || index < 1) {
        fail(attempt, "status " + status + ", index " + index);
      } else if ("false".equals(header.apply("X-Consul-KnownLeader"))) {
        fail(attempt, "it knows no leader");
      } else {
        String lastContact = header.apply("X-Consul-LastContact");
        boolean stale = lastContact != null && !"0".equals(lastContact);
        try {
          next.accept(index, status == OK ? entries(body) : List.of(), stale);
        } catch (IOException | IllegalArgumentException e) {
          fail(attempt, "a response can't be parsed: " + e.getMessage());
        }
      }
    };
  }

  private List<KeyChange> entries(byte[] body) throws IOException {
    List<KeyChange> entries = new ArrayList<>();
    for (JsonNode each : json.readTree(body)) {
      String value =
          new String(
              Base64.getDecoder().decode(each.path("Value").asText("")), StandardCharsets.UTF_8);
      entries.add(
          new KeyChange(each.path("Key").asText(), value, each.path("ModifyIndex").asLong()));
    }
    return entries;
  }

  private static long index(Function<String, String> header) {
    try {
      String text = header.apply("X-Consul-Index");
      return text == null ? 0 : Long.parseLong(text);
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
