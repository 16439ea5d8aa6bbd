import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A client repeats tokened invocations after a change of the routes. */
final class Case8 {

  private static final long WINDOW_MS = 2_000;
  private static final int TOKENS = 12;

  public static void main(String[] args) {
    Rig.main(args, Case8::play);
  }

  private static int play() throws Exception {
    Host.TokenMemory first = new Host.TokenMemory(WINDOW_MS);
    Host.TokenMemory second = new Host.TokenMemory(WINDOW_MS);
    List<Host> hosts = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      hosts.add(new Host("a-" + i, 0, first, 60).tcp());
      hosts.add(new Host("b-" + i, 1, second, 60).tcp());
    }
    StringBuilder list = new StringBuilder("hosts:\n");
    hosts.forEach(host -> list.append(host.entry(null)));
    String before =
        list
            + "pools:\n  - {name: a, hosts: [\"a-*\"]}\n  - {name: b, hosts: [\"b-*\"]}\n"
            + "routes:\n  - {triggerTypes: [lodge], to: a}\n  - {to: b}\n";
    String after = list + "pools:\n  - {name: b, hosts: [\"b-*\"]}\nroutes:\n  - {to: b}\n";
    Path control = Rig.folder.resolve("control.sock");
    Rig.daemon(
        "gw-0",
        Rig.common("gw-0", 0, 1, "2s", "1s")
            + before
            + "control: {listen: \"unix:" + control + "\", step: 1, settle: 200ms, watch: 10s, dead: 1s, worse: 0.02}\n");
    Path socket = Rig.folder.resolve("gw-0.sock");

    // The client sends, and closes its socket before it has read an answer.
    Client leaving = new Client(socket, false);
    for (int i = 0; i < TOKENS; i++) {
      leaving.invoke("grade-" + i, "lodge", "pack-" + i, false);
    }
    Rig.note("sent " + TOKENS + " lodges");
    Rig.await("all lodges ran", 3_000, () -> Host.ARRIVALS.size() >= TOKENS);
    Rig.sleep(300);
    leaving.close();
    Rig.note("the client has closed its socket without reading");

    if (Rig.TROUBLE) {
      ObjectNode change = Wire.JSON.createObjectNode().put("hosts", after);
      JsonNode status = Client.askOnce(control, "apply", change);
      Rig.note("change applied: " + status.path("change").path("stage").asText());
    }
    Rig.sleep(400);

    // It comes back and tries again, with the same tokens.
    try (Client again = new Client(socket, true)) {
      List<CompletableFuture<JsonNode>> answers = new ArrayList<>();
      for (int i = 0; i < TOKENS; i++) {
        answers.add(again.invoke("grade-" + i, "lodge", "pack-" + i, true));
      }
      Rig.note("sent the " + TOKENS + " lodges again, with their tokens");
      for (int i = 0; i < TOKENS; i++) {
        Rig.note("  pack-" + i + ": " + Client.word(answers.get(i).get(5, TimeUnit.SECONDS)));
      }
    }
    Rig.sleep(300);
    Host.noteArrivals();

    Map<String, List<Host.Arrival>> ran = new HashMap<>();
    for (Host.Arrival each : Host.ARRIVALS) {
      if (each.fate().equals("ran")) {
        ran.computeIfAbsent(each.token(), token -> new ArrayList<>()).add(each);
      }
    }
    int twice = 0;
    for (List<Host.Arrival> runs : ran.values()) {
      if (runs.size() > 1 && runs.get(1).atMs() - runs.get(0).atMs() < WINDOW_MS) {
        twice++;
      }
    }
    Rig.note(twice + " of " + TOKENS + " tokens had their effect twice within the window");
    return ran.size() < TOKENS ? Rig.COULD_NOT_RUN : twice > 0 ? Rig.BROKEN : Rig.HELD;
  }
}
