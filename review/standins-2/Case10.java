import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A rollout is taken back by a second process while the first still runs; the first dies later. */
final class Case10 {

  private static final int GATEWAYS = 3;
  private static final List<Path> CONTROLS = new ArrayList<>();

  public static void main(String[] args) {
    Rig.main(args, Case10::play);
  }

  private static JsonNode status(int gateway) throws Exception {
    return Client.askOnce(CONTROLS.get(gateway), "status", Wire.JSON.createObjectNode()).path("change");
  }

  private static boolean is(int gateway, java.util.function.Predicate<JsonNode> condition) {
    try {
      return condition.test(status(gateway));
    } catch (Exception e) {
      return false;
    }
  }

  private static void noteStatus(String when) throws Exception {
    for (int i = 0; i < GATEWAYS; i++) {
      JsonNode status = status(i);
      Rig.note(
          when + ": gw-" + i + " is " + status.path("stage").asText() + ", in force " + status.path("now").asText()
              + ", confirmed " + status.path("good").asText() + ", last: " + status.path("last").asText());
    }
  }

  private static int play() throws Exception {
    Host.TokenMemory memory = new Host.TokenMemory(2_000);
    Host w1 = new Host("w-1", 0, memory, 20).tcp();
    Host w2 = new Host("w-2", 0, memory, 20).tcp();
    Host w3 = new Host("w-3", 0, memory, 20).tcp();
    Host added = new Host("n-1", 0, memory, 20).tcp();
    String before = "hosts:\n" + w1.entry(null) + w2.entry(null) + w3.entry(null);
    Path change = Rig.write("new.yaml", before + added.entry(null));
    List<String> rollout = new ArrayList<>(List.of("rollout", change.toString(), "--record", record().toString()));
    for (int i = 0; i < GATEWAYS; i++) {
      Path control = Rig.folder.resolve("control-" + i + ".sock");
      CONTROLS.add(control);
      Path records = Files.createDirectory(Rig.folder.resolve("records-" + i));
      Rig.daemon(
          "gw-" + i,
          Rig.common("gw-" + i, i, GATEWAYS, "2s", "1s")
              + before
              + "control: {listen: \"unix:" + control + "\", records: \"" + records
              + "\", step: 0.25, settle: 2s, watch: 10s, dead: 1s, worse: 0.02}\n");
      rollout.addAll(List.of("--at", "unix:" + control));
    }
    String old = status(0).path("good").asText();
    noteStatus("before");

    Process first = Rig.start("rollout", rollout.toArray(new String[0]));
    Rig.await("gw-0 has confirmed the change", 40_000, () -> is(0, s -> !s.path("good").asText().equals(old)));
    Rig.note("gw-0 has confirmed the change; the operator takes the rollout back");
    if (!Rig.TROUBLE) {
      first.destroyForcibly().waitFor();
      Rig.note("the first process has died");
    }
    Process undo = Rig.start("undo", "rollout", "--undo", "--record", record().toString());
    if (Rig.TROUBLE) {
      // The first process is still there; it dies once it has told the next gateway.
      Rig.happens(30_000, () -> is(1, s -> !s.path("stage").asText().equals("steady")) || !undo.isAlive());
      first.destroyForcibly().waitFor();
      Rig.note("the first process has died");
    }
    if (!undo.waitFor(60, TimeUnit.SECONDS)) {
      Rig.note("the undo has not ended in 60 s");
      return Rig.COULD_NOT_RUN;
    }
    int code = undo.exitValue();
    double ended = Rig.nowMs();
    Rig.note("the undo ended with exit code " + code);
    noteStatus("at the undo's end");
    Rig.sleep(12_000);
    noteStatus("12 s later");

    // What clients and hosts see: the host that only the change names still gets work.
    for (int i = 0; i < GATEWAYS; i++) {
      try (Client client = new Client(Rig.folder.resolve("gw-" + i + ".sock"), true)) {
        for (int each = 0; each < 30; each++) {
          client.invoke("grade-" + i + "-" + each, "check", null, false).get(5, TimeUnit.SECONDS);
        }
      }
    }
    long strayed = Host.ARRIVALS.stream().filter(each -> each.host().equals("n-1") && each.atMs() > ended).count();
    Host.noteArrivals();
    Rig.note("the undo's output:\n" + Files.readString(Rig.folder.resolve("undo.log")));
    Rig.note("the rollout's output:\n" + Files.readString(Rig.folder.resolve("rollout.log")));
    Rig.note(strayed + " invocations ran at n-1 after the undo's end");
    boolean broken = code == 0 && strayed > 0;
    return broken ? Rig.BROKEN : code != 0 ? Rig.COULD_NOT_RUN : Rig.HELD;
  }

  private static Path record() throws Exception {
    return Files.createDirectories(Rig.folder.resolve("record"));
  }
}
