import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** The daemon is asked to stop while invocations are open whose answers come together. */
final class Case6 {

  private static final int INVOCATIONS = 24;
  private static final int PAYLOAD_CHARS = 32_000;
  private static final int WORK_MS = 150;
  private static final int HANDLING_MS = 10;

  public static void main(String[] args) {
    Rig.main(args, Case6::play);
  }

  private static int play() throws Exception {
    Host.TokenMemory memory = new Host.TokenMemory(2_000);
    List<Host> hosts = new ArrayList<>();
    for (int i = 1; i <= 12; i++) {
      hosts.add(new Host("w-" + i, 0, memory, WORK_MS).tcp());
    }
    StringBuilder list = new StringBuilder("hosts:\n");
    hosts.forEach(host -> list.append(host.entry(null)));
    Process gateway = Rig.daemon("gw-0", Rig.common("gw-0", 0, 1, "2s", "1s") + list);
    Path socket = Rig.folder.resolve("gw-0.sock");
    // It reads all the time, and handles one answer after the other, for 10 ms each.
    Client client = new Client(socket, true, HANDLING_MS);
    for (int round = 0; round < 6; round++) {
      List<CompletableFuture<JsonNode>> warm = new ArrayList<>();
      for (int i = 0; i < INVOCATIONS; i++) {
        warm.add(client.invoke("grade-" + i, "check", null, false));
      }
      for (CompletableFuture<JsonNode> each : warm) {
        each.get(5, TimeUnit.SECONDS);
      }
    }
    String pack = "x".repeat(PAYLOAD_CHARS);
    List<CompletableFuture<JsonNode>> answers = new ArrayList<>();
    int before = Host.ARRIVALS.size();
    for (int i = 0; i < INVOCATIONS; i++) {
      ObjectNode params = Wire.JSON.createObjectNode().put("function", "grade-" + i).put("triggerType", "check");
      answers.add(client.send("invoke", params.put("payload", pack)));
    }
    Rig.note("sent " + INVOCATIONS + " invocations with payloads of " + PAYLOAD_CHARS + " characters, which hosts give back");
    Rig.sleep(WORK_MS / 2);
    int running = Host.ARRIVALS.size() - before;
    Rig.note(running + " of them run at hosts");
    double asked = Rig.nowMs();
    if (Rig.TROUBLE) {
      gateway.destroy();
      Rig.note("SIGTERM to the daemon, whose stopGrace is 5 s");
    }
    int lost = 0;
    int succeeded = 0;
    for (int i = 0; i < INVOCATIONS; i++) {
      try {
        JsonNode answer = answers.get(i).get(6, TimeUnit.SECONDS);
        succeeded += answer.has("result") ? 1 : 0;
        Rig.note(
            "  grade-" + i + ": "
                + (answer.has("result")
                    ? "succeeded, " + answer.path("result").path("payload").asText().length() + " characters"
                    : Client.word(answer)));
      } catch (ExecutionException | TimeoutException e) {
        lost++;
        Rig.note("  grade-" + i + ": no answer, " + e.getMessage());
      }
    }
    if (Rig.TROUBLE) {
      gateway.waitFor(10, TimeUnit.SECONDS);
      Rig.note("the daemon ended " + Math.round(Rig.nowMs() - asked) + " ms after SIGTERM at the latest, exit code " + gateway.exitValue());
    }
    Host.noteArrivals();
    Rig.note(succeeded + " succeeded, " + lost + " of " + INVOCATIONS + " had no final answer");
    return lost > 0 ? Rig.BROKEN : succeeded == 0 ? Rig.COULD_NOT_RUN : Rig.HELD;
  }
}
