package flintlead.testing.soak;

import flintlead.testing.soak.GatewayEvent.Kind;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One gateway of a soak through all its processes. Started and signalled by the driver's thread
 * only: a process is to die with the thread that started it.
 */
final class GatewayProcess {

  /** After SIGTERM new connections come for so long. */
  private static final long NEW_CONNECTIONS_NANOS = 300_000_000;

  private static final long READY_NANOS = 30_000_000_000L;
  private static final String LISTENING = "gateway_listening";
  private static final String VIOLATION = "invariant_violated";
  private static final int MAX_LOG_LINES = 20_000;

  /** Lines of the log that the record of an end shows, and how long they are waited for. */
  private static final int LAST_LINES = 4;

  private static final long LAST_LINES_MILLIS = 500;

  private final int index;
  private final Path root;
  private final Path folder;
  private final Map<String, String> environment;
  private final SoakRecords records;

  /** What all its processes have written, each line with its time. */
  private final Queue<String> log = new ConcurrentLinkedQueue<>();

  /** Processes that the driver has killed. */
  private final Set<Long> killed = ConcurrentHashMap.newKeySet();

  private Process process;
  private volatile long startedAt;
  private volatile boolean ready;
  private volatile long terminatedAt = Long.MAX_VALUE;
  private long stoppedSince;
  private boolean stopped;

  /**
   * Starts nothing yet.
   *
   * @param root the project's folder
   * @param folder its own, with its configuration file
   * @param environment added to that of the process
   */
  GatewayProcess(
      int index, Path root, Path folder, Map<String, String> environment, SoakRecords records) {
    this.index = index;
    this.root = root;
    this.folder = folder;
    this.environment = environment;
    this.records = records;
  }

  /** Starts a process, where none runs. */
  void start() throws IOException {
    List<String> command = new ArrayList<>(ChildProcess.dyingWithParent());
    command.addAll(List.of("sh", "deploy/platform.sh"));
    ProcessBuilder builder =
        new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true);
    builder.environment().put("ROUTER_NAME", "n" + index);
    builder.environment().put("ROUTER_CONFIG", folder.resolve("config.json").toString());
    builder.environment().put("TMPDIR", folder.toString());
    builder.environment().putAll(environment);
    ready = false;
    terminatedAt = Long.MAX_VALUE;
    startedAt = System.nanoTime();
    Process started = builder.start();
    process = started;
    Thread reader = new Thread(() -> read(started), "gateway-log-" + index);
    reader.setDaemon(true);
    reader.start();
    started.onExit().thenAccept(ended -> exited(ended, reader));
  }

  private void read(Process of) {
    try (BufferedReader lines = of.inputReader()) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        logged(line);
      }
    } catch (IOException | UncheckedIOException e) {
      // The process has ended.
    }
  }

  private void logged(String line) {
    if (log.size() < MAX_LOG_LINES) {
      log.add(System.nanoTime() / 1_000_000 + " " + line);
    }
    if (line.contains(LISTENING)) {
      ready = true;
    }
    if (line.contains(VIOLATION)) {
      record(Kind.VIOLATION, System.nanoTime(), line);
    }
  }

  private void exited(Process ended, Thread reader) {
    long now = System.nanoTime();
    ready = process != ended && ready;
    if (!killed.contains(ended.pid())) {
      boolean asked = terminatedAt != Long.MAX_VALUE;
      String end = "exit code " + ended.exitValue() + ", last lines " + lastLines(reader);
      record(asked ? Kind.ENDED : Kind.CRASHED, now, end);
    }
  }

  /** The last lines that it has written, once all were read. */
  private List<String> lastLines(Thread reader) {
    try {
      reader.join(LAST_LINES_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    List<String> lines = List.copyOf(log);
    return lines.subList(Math.max(0, lines.size() - LAST_LINES), lines.size());
  }

  private void record(Kind kind, long atNanos, String detail) {
    records.gatewayEvents.add(new GatewayEvent(index, kind, atNanos, atNanos, detail));
  }

  boolean isReady() {
    return ready;
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Whether it runs and was not asked to end. */
  boolean isInService() {
    return ready && terminatedAt == Long.MAX_VALUE && isAlive();
  }

  /** Whether clients open new connections to it. May be called by any thread. */
  boolean acceptsConnections() {
    return ready && System.nanoTime() - terminatedAt < NEW_CONNECTIONS_NANOS;
  }

  // ---- signals ----

  void signal(String name) throws IOException {
    if (isAlive()) {
      ChildProcess.signal(process, name);
    }
  }

  void terminate() throws IOException {
    terminatedAt = System.nanoTime();
    signal("TERM");
  }

  /** SIGKILL; records what it takes along. */
  void kill(Kind kind) {
    if (!isAlive()) {
      return;
    }
    killed.add(process.pid());
    long now = System.nanoTime();
    process.destroyForcibly();
    endStandstill();
    records.gatewayEvents.add(
        new GatewayEvent(index, kind, now, now + TimeUnit.SECONDS.toNanos(1), "SIGKILL"));
  }

  /** SIGSTOP; false where it does not run or stands still already. */
  boolean stop() throws IOException {
    if (!isAlive() || stopped) {
      return false;
    }
    stopped = true;
    stoppedSince = System.nanoTime();
    signal("STOP");
    return true;
  }

  void resume() throws IOException {
    if (stopped) {
      signal("CONT");
      endStandstill();
    }
  }

  private void endStandstill() {
    if (stopped) {
      stopped = false;
      records.gatewayEvents.add(
          new GatewayEvent(
              index, Kind.STANDSTILL, stoppedSince, System.nanoTime(), "SIGSTOP, SIGCONT"));
    }
  }

  /** Waits for the end of a process that was killed. */
  void awaitExit() throws InterruptedException {
    if (process != null) {
      process.waitFor(5, TimeUnit.SECONDS);
    }
  }

  // ---- checks ----

  /** Records a break where it is over a limit, or not ready in time. */
  void checkLimits() {
    if (!isAlive()) {
      return;
    }
    long waited = System.nanoTime() - startedAt;
    if (!ready && waited > READY_NANOS && terminatedAt == Long.MAX_VALUE) {
      record(Kind.NOT_READY, System.nanoTime(), "not ready after " + waited / 1_000_000 + " ms");
      startedAt = System.nanoTime();
    }
    Path proc = Path.of("/proc", Long.toString(process.pid()));
    try (Stream<Path> descriptors = Files.list(proc.resolve("fd"))) {
      long open = descriptors.count();
      if (open > SoakConfiguration.DESCRIPTORS) {
        record(Kind.OVER_LIMIT, System.nanoTime(), open + " descriptors");
      }
      long memoryMb = residentMegabytes(proc);
      if (memoryMb > SoakConfiguration.MEMORY_MB) {
        record(Kind.OVER_LIMIT, System.nanoTime(), memoryMb + " MB");
      }
    } catch (IOException | UncheckedIOException e) {
      // It has ended meanwhile.
    }
  }

  private static long residentMegabytes(Path proc) throws IOException {
    for (String line : Files.readAllLines(proc.resolve("status"))) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
      }
    }
    return 0;
  }

  /** The lines of its log with this text. */
  List<String> logLines(String text) {
    return log.stream().filter(line -> line.contains(text)).toList();
  }
}
