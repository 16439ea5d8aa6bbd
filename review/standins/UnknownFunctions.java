import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients ask at full speed for functions that no host knows, each time for another one. */
final class UnknownFunctions {

  private static final int HOSTS = 120;
  private static final int MEMORY_MB = 64;
  private static final int SOCKETS = 1_024;
  private static final int USUAL_CLIENTS = 4;
  private static final int BAD_CLIENTS = 16;
  private static final int RUN_MILLIS = 70_000;

  private final Bench bench;
  private final int port;
  private final Bench.Gateway gateway;
  private final double end;
  private final Answers usual = new Answers();
  private final Answers bad = new Answers();

  /** Counts of what clients got. */
  private static final class Answers {
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger refusedOrFailed = new AtomicInteger();
    final AtomicInteger none = new AtomicInteger();

    void count(int status) {
      (status == 200 ? served : status == 0 ? none : refusedOrFailed).incrementAndGet();
    }

    @Override
    public String toString() {
      return "served " + served + ", refused or failed " + refusedOrFailed
          + ", ended with no answer " + none;
    }
  }

  private UnknownFunctions(Bench bench, int port, Bench.Gateway gateway) {
    this.bench = bench;
    this.port = port;
    this.gateway = gateway;
    this.end = bench.ms() + RUN_MILLIS;
  }

  public static void main(String[] args) throws Exception {
    int code = Bench.NOT_RUN;
    Bench bench = new Bench(Path.of(args[0]), 100);
    try {
      code = play(bench);
    } catch (Throwable e) {
      bench.note("the case could not run: " + e);
    }
    bench.close();
    System.exit(code);
  }

  private static int play(Bench bench) throws Exception {
    ManyHosts fleet = new ManyHosts(HOSTS);
    Journal journal = new Journal(fleet.endpoints());
    int port = Bench.freePort();
    Bench.Gateway gateway =
        bench.startGateway(
            "n1", port, Settings.file("n1", port, journal, MEMORY_MB, SOCKETS, "cell", 2_000));
    bench.note(HOSTS + " hosts, memory_mb " + MEMORY_MB + ", sockets " + SOCKETS);
    if (!gateway.awaitReady()) {
      gateway.recordLog(20);
      return Bench.NOT_RUN;
    }
    Bench.sleep(2_000);
    return new UnknownFunctions(bench, port, gateway).run(fleet);
  }

  private int run(ManyHosts fleet) {
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      int number = i + 1;
      Random random = new Random(number);
      Bench.thread(
          () -> client(number, usual, 100, () -> ManyHosts.KNOWN + suffix(random.nextInt(20))));
    }
    Bench.sleep(2_000);
    int before = usual.served.get();
    if (bench.trouble) {
      bench.note(BAD_CLIENTS + " bad clients begin");
      for (int i = 0; i < BAD_CLIENTS; i++) {
        int number = 1_000 + i;
        Random random = new Random(number);
        Bench.thread(
            () -> client(number, bad, 0, () -> suffix(random.nextInt()) + suffix(random.nextInt())));
      }
    }
    while (bench.ms() < end && gateway.process.isAlive()) {
      Bench.sleep(2_000);
      bench.note(
          "usual requests: " + usual + "; bad requests: " + bad + "; run at hosts: known "
              + fleet.known + ", unknown " + fleet.unknown);
    }
    Bench.sleep(500);
    boolean alive = gateway.process.isAlive();
    gateway.recordLog(5);
    if (before == 0) {
      bench.note("no request was served before the disruption");
      return Bench.NOT_RUN;
    }
    if (!alive) {
      bench.note(
          "BROKEN: the gateway process ended by itself with code " + gateway.process.exitValue());
      return Bench.BROKEN;
    }
    bench.note("HELD: the gateway process lives");
    return Bench.HELD;
  }

  private static String suffix(int number) {
    return String.format("%08x", number);
  }

  private interface Function {
    String next();
  }

  /** One request after another on one connection. */
  private void client(int number, Answers answers, int pauseMillis, Function function) {
    Client client = null;
    for (int i = 0; bench.ms() < end && gateway.process.isAlive(); i++) {
      String id = suffix(number) + suffix(i);
      try {
        client = client == null ? new Client(port) : client;
        byte[] body = id.getBytes(StandardCharsets.US_ASCII);
        int status = client.call(function.next(), "check", id, null, 3_000, 600, body).status();
        answers.count(status);
        client = status == 0 ? null : client;
      } catch (IOException e) {
        answers.count(0);
        client = null;
      }
      Bench.sleep(pauseMillis);
    }
  }
}
