import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A keyed request may have run at a host. Its second attempt waits for a connection when the gateway
 * stands still, and the hosts forget the key meanwhile.
 */
final class LateRepeat {

  /** One cell of them, a fifth, falls silent. */
  private static final int HOSTS = 20;

  private static final int CELL_SIZE = 4;
  private static final int WINDOW_MILLIS = 2_000;
  private static final int SLACK_MILLIS = 50;
  private static final String KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

  private record Run(String host, double at) {}

  private static final List<Run> RUNS = new ArrayList<>();

  /** When the connection of the first attempt was reset; 0 before. */
  private static volatile double resetAt;

  /** The hosts that fall silent to new connections. */
  private static volatile List<Host> silent = List.of();

  public static void main(String[] args) throws Exception {
    int code = Bench.NOT_RUN;
    Bench bench = new Bench(Path.of(args[0]), 60);
    try {
      code = play(bench);
    } catch (Throwable e) {
      bench.note("the case could not run: " + e);
    }
    bench.close();
    System.exit(code);
  }

  private static int play(Bench bench) throws Exception {
    List<Host> hosts = new ArrayList<>();
    List<String> endpoints = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      int cell = i / CELL_SIZE;
      // A short queue, so that a host which does not accept delays the next connections.
      Host host =
          new Host(
              bench,
              String.format("s-%08x", 0xa00 + i),
              "127.0.0.1",
              1,
              (self, fire) -> fired(bench, cellOf(hosts, self), self, fire));
      hosts.add(host);
      endpoints.add(Journal.endpoint(host.name, host.address(), cell, "active", 0));
    }
    Journal journal = new Journal(endpoints);
    int port = Bench.freePort();
    Bench.Gateway gateway =
        bench.startGateway(
            "n1", port, Settings.file("n1", port, journal, 160, 512, "cell", WINDOW_MILLIS));
    if (!gateway.awaitReady()) {
      gateway.recordLog(20);
      return Bench.NOT_RUN;
    }
    Bench.sleep(2_500);
    Client client = new Client(port);
    bench.note("client sends the keyed request, X-Ttl-Ms 3000");
    client.send("7f3a9c21e0b4d655", "lodge", "9b1f03aa5c7e2d41", KEY, 3_000, "deed".getBytes());
    double sent = bench.ms();
    Run first = awaitFirst(bench);
    if (first == null) {
      gateway.recordLog(20);
      return Bench.NOT_RUN;
    }
    // After 150 ms the gateway takes the first host for dead and turns to the second one, whose
    // connection is awaited for 250 ms.
    while (resetAt == 0) {
      Bench.sleep(1);
    }
    bench.sleepUntil(resetAt + 250);
    if (bench.trouble) {
      gateway.signal("STOP");
      bench.note("gateway stands still");
    }
    silent.forEach(Host::acceptAgain);
    bench.note("the hosts of the cell are heard again");
    if (bench.trouble) {
      bench.sleepUntil(first.at + WINDOW_MILLIS + 300);
      bench.note("gateway runs on");
      gateway.signal("CONT");
    }
    Client.Answer answer = client.await((int) (sent + 4_000 - bench.ms()));
    bench.note("client is answered " + answer.status());
    Bench.sleep(500);
    gateway.recordLog(20);
    return judge(bench);
  }

  private static List<Host> cellOf(List<Host> hosts, Host host) {
    int from = hosts.indexOf(host) / CELL_SIZE * CELL_SIZE;
    return hosts.subList(from, from + CELL_SIZE);
  }

  private static Run awaitFirst(Bench bench) {
    for (int i = 0; i < 300; i++) {
      synchronized (RUNS) {
        if (!RUNS.isEmpty()) {
          return RUNS.get(0);
        }
      }
      Bench.sleep(10);
    }
    bench.note("no attempt arrived at any host");
    return null;
  }

  /** The first run is cut off by a reset; its cell is then silent for a while. Later runs are served. */
  private static void fired(Bench bench, List<Host> cell, Host host, Host.Fire fire) {
    boolean first;
    synchronized (RUNS) {
      first = RUNS.isEmpty();
      RUNS.add(new Run(host.name, bench.ms()));
    }
    bench.note(
        host.name + " runs " + fire.id() + " with key " + fire.fields().get("nonce") + ", limit "
            + fire.fields().get("limit"));
    if (!first) {
      fire.answer("200", "done".getBytes());
      return;
    }
    List<Thread> pausing = new ArrayList<>();
    for (Host each : cell) {
      Thread thread = new Thread(() -> pause(bench, each));
      thread.start();
      pausing.add(thread);
    }
    try {
      for (Thread thread : pausing) {
        thread.join();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    silent = List.copyOf(cell);
    bench.note(
        host.name + " resets the connection under the request; the hosts of its cell are silent to"
            + " new connections");
    fire.on().reset();
    resetAt = bench.ms();
  }

  private static void pause(Bench bench, Host host) {
    try {
      host.pauseAccepting();
    } catch (Exception e) {
      bench.note("connections can't be held back: " + e);
    }
  }

  private static int judge(Bench bench) {
    Run first = RUNS.get(0);
    for (Run later : RUNS.subList(1, RUNS.size())) {
      double after = later.at - first.at;
      if (after > WINDOW_MILLIS + SLACK_MILLIS) {
        bench.note(
            "BROKEN: the keyed request, which had run at " + first.host + ", ran again at "
                + later.host + " after " + Math.round(after) + " ms; hosts drop repeats for "
                + WINDOW_MILLIS + " ms");
        return Bench.BROKEN;
      }
    }
    bench.note("HELD: " + RUNS.size() + " runs, none after the window");
    return Bench.HELD;
  }
}
