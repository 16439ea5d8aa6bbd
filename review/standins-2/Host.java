import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A sound host by "The protocol of hosts" of docs/protocol.md, with every function loaded.
 */
final class Host {

  /** One "run" that reached the host. */
  record Arrival(double atMs, String host, String function, String type, String token, String fate) {}

  /** The tokens that the hosts of one group remember. */
  static final class TokenMemory {
    private final long windowMs;
    private final Map<String, Double> seen = new HashMap<>();

    TokenMemory(long windowMs) {
      this.windowMs = windowMs;
    }

    synchronized boolean isNew(String token) {
      double now = Rig.nowMs();
      Double at = seen.get(token);
      if (at != null && now - at < windowMs) {
        return false;
      }
      seen.put(token, now);
      return true;
    }
  }

  /** All runs at all hosts of the case, in the order of their arrival. */
  static final List<Arrival> ARRIVALS = new CopyOnWriteArrayList<>();

  final String name;
  final int cell;
  final List<String> addresses = new ArrayList<>();

  private final TokenMemory memory;
  private final long workMs;
  private final long startedAt = System.currentTimeMillis();
  private final Set<Wire> connections = ConcurrentHashMap.newKeySet();
  private final List<ServerSocketChannel> listening = new CopyOnWriteArrayList<>();

  Host(String name, int cell, TokenMemory memory, long workMs) {
    this.name = name;
    this.cell = cell;
    this.memory = memory;
    this.workMs = workMs;
  }

  /** Listens at a free port of the loopback interface. */
  Host tcp() throws IOException {
    ServerSocketChannel open = ServerSocketChannel.open();
    open.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
    addresses.add("tcp:127.0.0.1:" + ((InetSocketAddress) open.getLocalAddress()).getPort());
    accept(open);
    return this;
  }

  /** Its entry in a list of hosts. */
  String entry(String state) {
    return entry(state, cell);
  }

  /** Its entry in a list of hosts that puts it into another cell. */
  String entry(String state, int inCell) {
    return "  - {name: " + name + ", addresses: " + Wire.JSON.valueToTree(addresses) + ", zone: 0, cell: " + inCell
        + (state == null ? "" : ", state: " + state) + "}\n";
  }

  private void accept(ServerSocketChannel open) {
    listening.add(open);
    daemon(
        () -> {
          while (true) {
            SocketChannel accepted = open.accept();
            daemon(() -> serve(new Wire(accepted)));
          }
        });
  }

  interface Task {
    void run() throws Exception;
  }

  static void daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // The connection has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Wire wire) throws Exception {
    connections.add(wire);
    try {
      for (JsonNode message = wire.read(); message != null; message = wire.read()) {
        handle(wire, message);
      }
    } finally {
      connections.remove(wire);
      wire.close();
    }
  }

  /** Its process ends: nothing listens any more, and its connections break. */
  void crash() throws IOException {
    for (ServerSocketChannel each : listening) {
      each.close();
    }
    connections.forEach(Wire::close);
  }

  private void handle(Wire wire, JsonNode message) throws Exception {
    JsonNode id = message.path("id");
    JsonNode params = message.path("params");
    switch (message.path("method").asText()) {
      case "hello" ->
          wire.write(
              answer(id, Wire.JSON.createObjectNode().put("host", name).put("start", name + "/" + startedAt)
                  // Past its warm-up: it has run for long.
                  .put("ageMs", 3_600_000 + System.currentTimeMillis() - startedAt)));
      case "run" -> run(wire, id, params);
      case "load" ->
          wire.write(answer(id, Wire.JSON.createObjectNode().put("copies", params.path("copies").asInt())));
      case "probe" -> wire.write(answer(id, Wire.JSON.createObjectNode().put("waiting", 0)));
      case "cancel" -> { }
      default -> wire.write(answer(id, Wire.JSON.createObjectNode()));
    }
  }

  private void run(Wire wire, JsonNode id, JsonNode params) throws Exception {
    String token = params.path("token").asText(null);
    String type = params.path("triggerType").asText();
    boolean repeat = type.equals("lodge") && !memory.isNew(token);
    String fate = repeat ? "repeat" : "ran";
    ARRIVALS.add(new Arrival(Rig.nowMs(), name, params.path("function").asText(), type, token, fate));
    daemon(
        () -> {
          Thread.sleep(repeat ? 0 : workMs);
          ObjectNode result = Wire.JSON.createObjectNode();
          result.set("payload", params.path("payload"));
          wire.write(answer(id, result.put("copy", "warm").put("crowd", 0).put("waiting", 0)));
        });
  }

  private static ObjectNode answer(JsonNode id, ObjectNode result) {
    ObjectNode answer = Wire.JSON.createObjectNode().put("jsonrpc", "2.0");
    answer.set("id", id);
    answer.set("result", result);
    return answer;
  }

  /** Writes all runs into the record. */
  static void noteArrivals() {
    for (Arrival each : ARRIVALS) {
      Rig.note(
          String.format(
              java.util.Locale.ROOT, "  run at %s, %.1f ms: %s %s token %s: %s",
              each.host, each.atMs, each.type, each.function, each.token, each.fate));
    }
  }
}
