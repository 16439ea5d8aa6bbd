import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A host changes its cell by configuration while it works at tokened invocations, and then ends. */
final class Case9 {

  private static final long WINDOW_MS = 2_000;
  private static final int INVOCATIONS = 18;
  private static final long WORK_MS = 800;

  public static void main(String[] args) {
    Rig.main(args, Case9::play);
  }

  private static int play() throws Exception {
    Host.TokenMemory first = new Host.TokenMemory(WINDOW_MS);
    Host.TokenMemory second = new Host.TokenMemory(WINDOW_MS);
    List<Host> hosts = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      hosts.add(new Host("w-" + i, 0, first, WORK_MS).tcp());
    }
    for (int i = 4; i <= 6; i++) {
      hosts.add(new Host("w-" + i, 1, second, WORK_MS).tcp());
    }
    Host moving = hosts.get(0);
    StringBuilder before = new StringBuilder("hosts:\n");
    hosts.forEach(host -> before.append(host.entry(null)));
    StringBuilder after = new StringBuilder("hosts:\n");
    hosts.forEach(host -> after.append(host.entry(null, host == moving ? 1 : host.cell)));
    Path control = Rig.folder.resolve("control.sock");
    Rig.daemon(
        "gw-0",
        Rig.common("gw-0", 0, 1, "2s", "1s")
            + before
            + "control: {listen: \"unix:" + control + "\", step: 0.25, settle: 2s, watch: 10s, dead: 1s, worse: 0.02}\n");
    ObjectNode change = Wire.JSON.createObjectNode().put("hosts", after.toString());
    Client.askOnce(control, "plan", change);
    try (Client client = new Client(Rig.folder.resolve("gw-0.sock"), true)) {
      List<CompletableFuture<JsonNode>> answers = new ArrayList<>();
      for (int i = 0; i < INVOCATIONS; i++) {
        answers.add(client.invoke("grade-" + i, "lodge", "pack-" + i, false));
      }
      Rig.note("sent " + INVOCATIONS + " lodges");
      Rig.sleep(250);
      long atMoving = Host.ARRIVALS.stream().filter(each -> each.host().equals("w-1")).count();
      Rig.note("w-1 works at " + atMoving + " of them");
      if (atMoving == 0) {
        return Rig.COULD_NOT_RUN;
      }
      if (Rig.TROUBLE) {
        JsonNode status = Client.askOnce(control, "apply", change);
        Rig.note("the operator's change puts w-1 into cell 1: " + status.path("change").path("stage").asText());
      }
      Rig.sleep(200);
      moving.crash();
      Rig.note("the process of w-1 ends");
      for (int i = 0; i < INVOCATIONS; i++) {
        Rig.note("  pack-" + i + ": " + Client.word(answers.get(i).get(5, TimeUnit.SECONDS)));
      }
    }
    Host.noteArrivals();
    Map<String, List<Host.Arrival>> ran = new HashMap<>();
    for (Host.Arrival each : Host.ARRIVALS) {
      if (each.fate().equals("ran")) {
        ran.computeIfAbsent(each.token(), token -> new ArrayList<>()).add(each);
      }
    }
    long twice =
        ran.values().stream().filter(runs -> runs.size() > 1 && runs.get(1).atMs() - runs.get(0).atMs() < WINDOW_MS).count();
    Rig.note(twice + " of " + INVOCATIONS + " tokens had their effect twice within the window");
    return twice > 0 ? Rig.BROKEN : Rig.HELD;
  }
}
