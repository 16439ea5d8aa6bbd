import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A client of a gateway's socket, or of its control socket: "The protocol of clients". */
final class Client implements AutoCloseable {

  private final Wire wire;
  private final Map<Integer, CompletableFuture<JsonNode>> open = new ConcurrentHashMap<>();
  private int lastId;

  /** Connects; {@code reads} is whether answers are read at all. */
  Client(Path socket, boolean reads) throws IOException {
    this(socket, reads, 0);
  }

  /** Connects a client that reads, and handles each answer for so long before it reads the next. */
  Client(Path socket, boolean reads, long handlingMs) throws IOException {
    wire = Wire.connect(UnixDomainSocketAddress.of(socket));
    if (reads) {
      Host.daemon(
          () -> {
            try {
              for (JsonNode text = wire.read(); text != null; text = wire.read()) {
                CompletableFuture<JsonNode> waiting = open.remove(text.path("id").asInt());
                if (waiting != null) {
                  waiting.complete(text);
                  Thread.sleep(handlingMs);
                }
              }
            } finally {
              open.values().forEach(each -> each.completeExceptionally(new IOException("connection ended")));
            }
          });
    }
  }

  /** Sends a request. */
  synchronized CompletableFuture<JsonNode> send(String method, ObjectNode params) throws IOException {
    int id = ++lastId;
    CompletableFuture<JsonNode> answer = new CompletableFuture<>();
    open.put(id, answer);
    ObjectNode request = Wire.JSON.createObjectNode().put("jsonrpc", "2.0").put("id", id).put("method", method);
    request.set("params", params);
    wire.write(request);
    return answer;
  }

  /** Sends an invocation; the token may be null. */
  CompletableFuture<JsonNode> invoke(String function, String type, String token, boolean repeat) throws IOException {
    ObjectNode params = Wire.JSON.createObjectNode().put("function", function).put("triggerType", type);
    params.set("payload", Wire.JSON.createObjectNode().put("for", function));
    if (token != null) {
      params.put("token", token);
    }
    if (repeat) {
      params.put("repeat", true);
    }
    return send("invoke", params);
  }

  /** Asks and waits for the answer's result; an error fails the case. */
  JsonNode ask(String method, ObjectNode params) throws Exception {
    JsonNode answer = send(method, params).get(10, TimeUnit.SECONDS);
    if (answer.has("error")) {
      throw new IllegalStateException(method + ": " + answer.path("error"));
    }
    return answer.path("result");
  }

  /** Asks once on a connection of its own. */
  static JsonNode askOnce(Path socket, String method, ObjectNode params) throws Exception {
    try (Client client = new Client(socket, true)) {
      return client.ask(method, params);
    }
  }

  /** A final answer in a word. */
  static String word(JsonNode answer) {
    return answer.has("result")
        ? "succeeded at " + answer.path("result").path("host").asText()
        : answer.path("error").path("code").asInt() + " " + answer.path("error").path("message").asText()
            + " " + answer.path("error").path("data");
  }

  @Override
  public void close() {
    wire.close();
  }
}
