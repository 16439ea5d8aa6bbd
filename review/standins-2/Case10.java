import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The process of a host dies with a keyed request, and another host comes up at its address. */
final class Case10 {

  private static final long WINDOW_MS = 2_000;
  private static final int HOSTS = 12;
  private static final int CELLS = 2;

  /** So many hosts are followed by another at their address, one after the other. */
  private static final int ROUNDS = 3;

  /** How much later than the host itself the list tells of it. */
  private static final long LIST_LAG_MS = 1_000;

  private static final List<Host.TokenMemory> MEMORIES = new ArrayList<>();
  private static Platform.Journal journal;

  /** The host at which the round's lodge has run first; null before. */
  private static Platform.LineHost victim;

  private static int round;

  public static void main(String[] args) {
    Rig.main(args, Case10::play);
  }

  /** The first request of the round has run: the process dies, or only its connections are reset. */
  private static void ran(Platform.LineHost host, Runnable answer) throws Exception {
    boolean first;
    synchronized (Case10.class) {
      first = victim == null;
      victim = first ? host : victim;
    }
    if (!first) {
      Rig.sleep(60);
      answer.run();
      return;
    }
    if (!Rig.TROUBLE) {
      Rig.note("the connections of " + host.name + " are reset before its answer; it goes on");
      host.resetAll();
      return;
    }
    int port = host.port();
    int otherCell = (host.cell + 1) % CELLS;
    host.die();
    Platform.LineHost successor = atOnce(String.format("s-%08x", 0xf00 + round), otherCell, port);
    Rig.note("the process of " + host.name + " (cell " + host.cell + ") has died before its answer; " + successor.name + " of cell "
        + otherCell + " is up at its address");
    Rig.sleep(LIST_LAG_MS);
    journal.tell(host.endpoint("left", 0), successor.endpoint("active", System.currentTimeMillis() - LIST_LAG_MS));
    Rig.note("the journal service tells of both");
  }

  private static Platform.LineHost atOnce(String name, int cell, int port) throws Exception {
    while (true) {
      try {
        return new Platform.LineHost(name, cell, MEMORIES.get(cell), port, Case10::ran);
      } catch (java.net.BindException e) {
        // The process before still holds the port.
        Thread.sleep(1);
      }
    }
  }

  private static int play() throws Exception {
    for (int cell = 0; cell < CELLS; cell++) {
      MEMORIES.add(new Host.TokenMemory(WINDOW_MS));
    }
    List<String> endpoints = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      int cell = i % CELLS;
      Platform.LineHost host =
          new Platform.LineHost(String.format("s-%08x", 0xa00 + i), cell, MEMORIES.get(cell), 0, Case10::ran);
      endpoints.add(host.endpoint("active", 0));
    }
    journal = new Platform.Journal(endpoints);
    int port = Rig.freePort();
    Platform.gateway("n1", port, journal);
    Rig.sleep(1_500);
    for (round = 0; round < ROUNDS; round++) {
      synchronized (Case10.class) {
        victim = null;
      }
      String id = String.format("9b1f03aa5c7e2d4%x", round);
      Rig.note("a client sends a lodge with a key; X-Ttl-Ms 3000");
      int status =
          Platform.invoke(port, String.format("7f3a9c21e0b4d65%x", round), "lodge", id, "5c0f6e1a2b3d4c59a8b7c6d5e4f3021" + round, 3_000);
      Rig.note("it is answered " + status);
      Rig.sleep(3_000);
    }
    Host.noteArrivals();
    Map<String, List<Host.Arrival>> ran = new HashMap<>();
    for (Host.Arrival each : Host.ARRIVALS) {
      if (each.fate().equals("ran")) {
        ran.computeIfAbsent(each.token(), token -> new ArrayList<>()).add(each);
      }
    }
    if (ran.isEmpty()) {
      return Rig.COULD_NOT_RUN;
    }
    long twice =
        ran.values().stream().filter(runs -> runs.size() > 1 && runs.get(1).atMs() - runs.get(0).atMs() < WINDOW_MS).count();
    Rig.note(twice + " of " + ran.size() + " lodges took effect twice, in two cells");
    return twice > 0 ? Rig.BROKEN : Rig.HELD;
  }
}
