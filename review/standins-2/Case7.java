import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.UnixDomainSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/** A batch of which one answer comes late, on a connection whose client reads all the time. */
final class Case7 {

  private static final long TIMEOUT_MS = 30_000;
  private static final long LATE_MS = 14_000;
  private static final long USUAL_MS = 2_000;

  public static void main(String[] args) {
    Rig.main(args, Case7::play);
  }

  private static ObjectNode invoke(int id, String function, String type) {
    ObjectNode request = Wire.JSON.createObjectNode().put("jsonrpc", "2.0").put("id", id).put("method", "invoke");
    request.putObject("params").put("function", function).put("triggerType", type).put("timeoutMs", TIMEOUT_MS).put("payload", id);
    return request;
  }

  private static int play() throws Exception {
    Host.TokenMemory memory = new Host.TokenMemory(2_000);
    List<Host> hosts = new ArrayList<>();
    for (int i = 1; i <= 7; i++) {
      hosts.add(new Host("w-" + i, 0, memory, 20).tcp());
    }
    hosts.add(new Host("w-8", 0, memory, Rig.TROUBLE ? LATE_MS : USUAL_MS).tcp());
    StringBuilder list = new StringBuilder("hosts:\n");
    hosts.forEach(host -> list.append(host.entry(null)));
    Rig.daemon(
        "gw-0",
        Rig.common("gw-0", 0, 1, "2s", "1s")
            + list
            + "pools:\n  - {name: quick, hosts: [w-1, w-2, w-3, w-4, w-5, w-6, w-7]}\n  - {name: long, hosts: [w-8]}\n"
            + "routes:\n  - {functions: [\"value-*\"], to: long}\n  - {to: quick}\n");

    Wire wire = Wire.connect(UnixDomainSocketAddress.of(Rig.folder.resolve("gw-0.sock")));
    List<JsonNode> answers = new CopyOnWriteArrayList<>();
    CompletableFuture<Void> ended = new CompletableFuture<>();
    Host.daemon(
        () -> {
          try {
            for (JsonNode text = wire.read(); text != null; text = wire.read()) {
              Rig.note("answer: " + text);
              answers.add(text);
            }
          } finally {
            Rig.note("the connection has ended");
            ended.complete(null);
          }
        });
    ArrayNode batch = Wire.JSON.createArrayNode();
    batch.add(invoke(1, "grade-1", "check"));
    batch.add(invoke(2, "value-1", "apply"));
    wire.write(batch);
    double sent = Rig.nowMs();
    Rig.note("sent a batch of two, which may take " + TIMEOUT_MS + " ms; " + batch);
    Rig.sleep(1_000);
    wire.write(invoke(3, "grade-2", "check"));
    Rig.note("sent one more on the same connection");

    boolean answered =
        Rig.happens(TIMEOUT_MS, () -> answers.stream().anyMatch(JsonNode::isArray) || ended.isDone())
            && answers.stream().anyMatch(JsonNode::isArray);
    boolean cutOff = ended.isDone() && !answered;
    double until = Rig.nowMs();
    if (answers.isEmpty()) {
      return Rig.COULD_NOT_RUN;
    }
    Host.noteArrivals();
    Rig.note(
        answered
            ? "the batch was answered after " + Math.round(until - sent) + " ms"
            : "the batch was not answered" + (cutOff ? ": the gateway ended the connection after " + Math.round(until - sent) + " ms" : ""));
    return answered ? Rig.HELD : Rig.BROKEN;
  }
}
