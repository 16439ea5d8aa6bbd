import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients begin a request with many short header lines and never end it. */
final class EndlessRequests {

  private static final int MEMORY_MB = 128;
  private static final int SOCKETS = 1_024;

  /** With the usual clients far below a third of the descriptors, 341. */
  private static final int BAD_CLIENTS = 240;

  private static final int USUAL_CLIENTS = 6;
  private static final int HEAD_BYTES = 8_000;
  private static final int RUN_MILLIS = 15_000;
  private static final String FUNCTION = "7f3a9c21e0b4d655";

  private final Bench bench;
  private final int port;
  private final Bench.Gateway gateway;
  private final double end;
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger begun = new AtomicInteger();
  private final AtomicInteger dismissed = new AtomicInteger();

  private EndlessRequests(Bench bench, int port, Bench.Gateway gateway) {
    this.bench = bench;
    this.port = port;
    this.gateway = gateway;
    this.end = bench.ms() + RUN_MILLIS;
  }

  public static void main(String[] args) throws Exception {
    int code = Bench.NOT_RUN;
    Bench bench = new Bench(Path.of(args[0]), 90);
    try {
      code = play(bench);
    } catch (Throwable e) {
      bench.note("the case could not run: " + e);
    }
    bench.close();
    System.exit(code);
  }

  private static int play(Bench bench) throws Exception {
    Host host =
        new Host(
            bench,
            "s-000000c1",
            "127.0.0.1",
            100,
            (self, fire) -> fire.answer("200", "done".getBytes(StandardCharsets.US_ASCII)));
    Journal journal =
        new Journal(List.of(Journal.endpoint(host.name, host.address(), 0, "active", 0)));
    int port = Bench.freePort();
    Bench.Gateway gateway =
        bench.startGateway(
            "n1", port, Settings.file("n1", port, journal, MEMORY_MB, SOCKETS, "cell", 2_000));
    bench.note("memory_mb " + MEMORY_MB + ", sockets " + SOCKETS);
    if (!gateway.awaitReady()) {
      gateway.recordLog(20);
      return Bench.NOT_RUN;
    }
    Bench.sleep(2_000);
    return new EndlessRequests(bench, port, gateway).run();
  }

  private int run() {
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      int number = i;
      Bench.thread(() -> usualClient(number));
    }
    Bench.sleep(2_000);
    note();
    int before = served.get();
    if (bench.trouble) {
      bench.note(BAD_CLIENTS + " bad clients connect");
      for (int i = 0; i < BAD_CLIENTS; i++) {
        Bench.thread(this::badClient);
      }
    }
    while (bench.ms() < end && gateway.process.isAlive()) {
      Bench.sleep(1_000);
      note();
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

  private void note() {
    bench.note(
        "usual requests: sent " + sent + ", served " + served + ", refused " + refused + ", failed "
            + failed + ", ended with no answer " + unanswered + "; bad requests: begun " + begun
            + ", refused or closed " + dismissed);
  }

  /** One request after another, five a second. */
  private void usualClient(int number) {
    Client client = null;
    for (int i = 0; bench.ms() < end && gateway.process.isAlive(); i++) {
      try {
        client = client == null ? new Client(port) : client;
        String id = String.format("%08x%08x", number + 1, i);
        sent.incrementAndGet();
        byte[] body = id.getBytes(StandardCharsets.US_ASCII);
        int status = client.call(FUNCTION, "check", id, null, 3_000, 600, body).status();
        switch (status) {
          case 200 -> served.incrementAndGet();
          case 429, 503 -> refused.incrementAndGet();
          case 0 -> unanswered.incrementAndGet();
          default -> failed.incrementAndGet();
        }
        client = status == 0 ? null : client;
      } catch (IOException e) {
        unanswered.incrementAndGet();
        client = null;
      }
      Bench.sleep(200);
    }
  }

  /** Begins a request, never ends it, and begins the next once it was refused or closed. */
  private void badClient() {
    StringBuilder head = new StringBuilder("POST /call/" + FUNCTION + "/fire HTTP/1.1\r\n");
    head.append("Host: api.internal\r\nContent-Length: 812\r\n");
    while (head.length() < HEAD_BYTES) {
      head.append("a:b\r\n");
    }
    byte[] bytes = head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII);
    while (bench.ms() < end && gateway.process.isAlive()) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setSoTimeout(6_000);
        socket.getOutputStream().write(bytes);
        begun.incrementAndGet();
        InputStream in = socket.getInputStream();
        in.read();
        dismissed.incrementAndGet();
      } catch (SocketTimeoutException e) {
        bench.note("a bad client got neither a refusal nor a close within 6 s");
      } catch (IOException e) {
        dismissed.incrementAndGet();
        Bench.sleep(50);
      }
    }
  }
}
