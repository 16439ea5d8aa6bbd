import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What all cases share: the record, the temporary folder, and the gateway processes under test. */
final class Bench implements AutoCloseable {

  /** Exit codes of a case's process. A JVM that fails has others; run.sh turns these into 0, 1 and 2. */
  static final int HELD = 11;

  static final int BROKEN = 10;
  static final int NOT_RUN = 12;

  private final BufferedWriter record;
  private final long startedAt = System.nanoTime();
  private final Path folder;
  private final List<Gateway> gateways = new ArrayList<>();

  /** Whether the disruption of the case happens; TROUBLE=0 leaves it out. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  Bench(Path caseFolder, int maxSeconds) throws IOException {
    record = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
    folder = Files.createTempDirectory("flintlead-review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    Thread watchdog =
        new Thread(
            () -> {
              sleep(maxSeconds * 1000L);
              note("the case did not end within " + maxSeconds + " s");
              Runtime.getRuntime().halt(closeAndReturn(NOT_RUN));
            });
    watchdog.setDaemon(true);
    watchdog.start();
    note("disruption: " + (trouble ? "yes" : "no (TROUBLE=0)"));
  }

  /** Milliseconds since the case began. */
  double ms() {
    return (System.nanoTime() - startedAt) / 1e6;
  }

  synchronized void note(String text) {
    try {
      record.write(String.format(Locale.ROOT, "%10.1f  %s%n", ms(), text));
      record.flush();
    } catch (IOException e) {
      // The record was closed at the end of the case.
    }
  }

  Path folder() {
    return folder;
  }

  /** Runs the task on a thread of its own that does not outlive the case. */
  static void thread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void sleepUntil(double at) {
    sleep((long) Math.ceil(at - ms()));
  }

  static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return probe.getLocalPort();
    }
  }

  /** The {@code run} command of the deploy file. */
  private static String runCommand() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run\\s*=\\s*\"([^\"]*)\"")
            .matcher(Files.readString(Path.of("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("deploy/balancer.toml has no run command");
    }
    return run.group(1);
  }

  /** One gateway process, started by the {@code run} command of the deploy file. */
  final class Gateway {
    final String name;
    final int port;
    final Path config;
    final Process process;

    private Gateway(String name, int port, String configText) throws IOException {
      this.name = name;
      this.port = port;
      Path own = Files.createDirectory(folder.resolve(name));
      config = own.resolve("config.json");
      Files.writeString(config, configText);
      Path temporary = Files.createDirectory(own.resolve("tmp"));
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
      builder.environment().put("ROUTER_NAME", name);
      builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
      builder.environment().put("ROUTER_CONFIG", config.toString());
      builder.environment().put("TMPDIR", temporary.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(own.resolve("log").toFile());
      process = builder.start();
      note("gateway " + name + " started, process " + process.pid());
    }

    Path log() {
      return config.resolveSibling("log");
    }

    void signal(String signal) {
      try {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      } catch (IOException | InterruptedException e) {
        note("signal " + signal + " failed: " + e);
      }
    }

    /** Waits until the gateway answers a ping; false if it does not within 30 s. */
    boolean awaitReady() {
      double end = ms() + 30_000;
      while (ms() < end && process.isAlive()) {
        if (Client.ping(port)) {
          note("gateway " + name + " is ready");
          return true;
        }
        sleep(50);
      }
      return false;
    }

    /** Copies the gateway's own log into the record. */
    void recordLog(int lines) {
      try {
        List<String> all = Files.readAllLines(log());
        all.subList(Math.max(0, all.size() - lines), all.size())
            .forEach(line -> note("log of " + name + ": " + line));
      } catch (IOException e) {
        note("the log of " + name + " can't be read: " + e);
      }
    }
  }

  Gateway startGateway(String name, int port, String configText) throws IOException {
    Gateway gateway = new Gateway(name, port, configText);
    gateways.add(gateway);
    return gateway;
  }

  private int closeAndReturn(int code) {
    close();
    return code;
  }

  @Override
  public synchronized void close() {
    for (Gateway gateway : gateways) {
      if (gateway.process.isAlive()) {
        gateway.process.destroyForcibly();
        try {
          gateway.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    gateways.clear();
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException | java.io.UncheckedIOException e) {
      // The folder is gone already.
    }
    try {
      record.close();
    } catch (IOException e) {
      // Nothing more can be recorded.
    }
  }
}
