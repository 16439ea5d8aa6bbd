import java.io.IOException;
import java.io.PrintWriter;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** What every case needs: the record, processes that end with the case, waiting, and the verdict. */
final class Rig {

  /** Exit codes of the driver; a JVM that does not start ends with none of them. */
  static final int HELD = 11;

  static final int BROKEN = 10;
  static final int COULD_NOT_RUN = 12;

  /** Whether the case plays its disruption. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  private static final long MOST_MS = 110_000;
  private static final long BEGAN = System.nanoTime();
  private static final List<Process> PROCESSES = new ArrayList<>();
  private static PrintWriter record;

  /** The case's temporary folder. */
  static Path folder;

  /** The project's root. */
  static Path root;

  private Rig() {}

  interface Body {
    int run() throws Exception;
  }

  /** Runs the case and exits; arguments: the case's folder, the temporary folder, the root. */
  static void main(String[] args, Body body) {
    int verdict;
    try {
      record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0], "record.txt")), true);
      folder = Path.of(args[1]);
      root = Path.of(args[2]);
      Runtime.getRuntime().addShutdownHook(new Thread(Rig::endAll));
      Host.daemon(Rig::endInTime);
      note("trouble " + (TROUBLE ? "on" : "off"));
      verdict = body.run();
    } catch (Throwable e) {
      note("could not run: " + e);
      e.printStackTrace();
      verdict = COULD_NOT_RUN;
    }
    note("verdict " + (verdict == HELD ? "held" : verdict == BROKEN ? "BROKEN" : "could not run"));
    endAll();
    record.close();
    Runtime.getRuntime().halt(verdict);
  }

  /** No case takes longer than this; one that hangs could not run. */
  private static void endInTime() throws InterruptedException {
    Thread.sleep(MOST_MS);
    note("could not run: not done in " + MOST_MS + " ms");
    endAll();
    Runtime.getRuntime().halt(COULD_NOT_RUN);
  }

  /** Milliseconds since the case began. */
  static double nowMs() {
    return (System.nanoTime() - BEGAN) / 1e6;
  }

  /** Writes a line of the record, with its time. */
  static synchronized void note(String line) {
    String shown = folder == null ? line : line.replace(folder.toString(), "$TMP");
    String text = String.format(Locale.ROOT, "%9.1f ms  %s", nowMs(), shown);
    System.out.println(text);
    if (record != null) {
      record.println(text);
    }
  }

  /** Starts a program of the project; its output goes to a file of the temporary folder. */
  static Process start(String name, String... arguments) throws IOException {
    List<String> command = new ArrayList<>(List.of("java", "-XX:-UsePerfData", "-Djava.io.tmpdir=" + folder, "-jar", "target/flintlead.jar"));
    command.addAll(List.of(arguments));
    return startCommand(name, command, Map.of("FLINTLEAD_LOG", "INFO"));
  }

  /** Starts a command in the project's root; its output goes to a file of the temporary folder. */
  static Process startCommand(String name, List<String> command, Map<String, String> environment) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve(name + ".log").toFile());
    builder.environment().putAll(environment);
    Process process = builder.start();
    synchronized (PROCESSES) {
      PROCESSES.add(process);
    }
    note("started " + name + " (" + String.join(" ", command) + ")");
    return process;
  }

  private static void endAll() {
    synchronized (PROCESSES) {
      PROCESSES.forEach(Process::destroyForcibly);
      for (Process process : PROCESSES) {
        try {
          process.waitFor();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }

  /** Waits until the condition holds; fails the case when it does not in time. */
  static void await(String what, long millis, BooleanSupplier condition) throws Exception {
    if (!happens(millis, condition)) {
      throw new IllegalStateException("not in " + millis + " ms: " + what);
    }
  }

  /** Waits for the condition; returns whether it came to hold in time. */
  static boolean happens(long millis, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        return false;
      }
      Thread.sleep(5);
    }
    return true;
  }

  static void sleep(long millis) throws InterruptedException {
    Thread.sleep(millis);
  }

  /** A port that was free a moment ago. */
  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** Writes a file of the temporary folder. */
  static Path write(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text);
  }

  /** What the cases' gateways have in common: the example of docs/operating.md. */
  static String common(String name, int index, int of, String lodgeWindow, String drainGrace) {
    return "listen: [\"unix:" + folder.resolve(name + ".sock") + "\"]\n"
        + "gateway: {name: " + name + ", index: " + index + ", of: " + of + "}\n"
        + "stopGrace: 5s\n"
        + "triggerTypes:\n"
        + "  - {name: check, latencyObjective: 750ms, clientTimeout: 3s, billedValue: 3, effect: idempotent}\n"
        + "  - {name: lodge, latencyObjective: 1200ms, clientTimeout: 3s, billedValue: 9, effect: tokened,"
        + " group: cell, window: " + lodgeWindow + "}\n"
        + "  - {name: apply, latencyObjective: 1200ms, clientTimeout: 3s, billedValue: 6, effect: non-idempotent}\n"
        + "rules:   {warmAfter: 17s, coldFrom: 0.28, fallMultiple: 2.5, overloadFor: 3s, drainGrace: " + drainGrace
        + ", loadsWithin: 5s, freeLoads: 2, loadShare: 0.3}\n"
        + "workers: {dispatches: 4, secondCopies: false, loadWhenAbsent: true, idleLife: 9s, loadWait: 10s,"
        + " reports: [waiting]}\n";
  }

  /** Starts a daemon with the configuration and waits until it takes invocations. */
  static Process daemon(String name, String config) throws Exception {
    Path file = write(name + ".yaml", config);
    Path socket = folder.resolve(name + ".sock");
    Process process = start(name, "serve", "-c", file.toString());
    await(name + " listens", 30_000, () -> Files.exists(socket) || !process.isAlive());
    if (!process.isAlive()) {
      throw new IllegalStateException(name + " ended: " + Files.readString(folder.resolve(name + ".log")));
    }
    return process;
  }
}
