package flintlead.platform;

import static org.awaitility.Awaitility.await;

import flintlead.testing.soak.ChildProcess;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A platform gateway as a separate process, with a limit on file descriptors. */
final class PlatformProcess implements AutoCloseable {

  private static final String LISTENING = "INFO gateway_listening address=";
  private static final int READY_TIMEOUT_SECONDS = 30;
  private static final int DEFAULT_HEAP_MB = 64;

  /** The lines that the process has written. */
  final List<String> log = new CopyOnWriteArrayList<>();

  private final Process process;

  /**
   * Starts the process.
   *
   * @param fixture provides the configuration file
   * @param folder directory for the temporary files of the process
   * @param descriptors limit on file descriptors
   */
  PlatformProcess(PlatformFixture fixture, Path folder, int descriptors) throws IOException {
    this(fixture, folder, descriptors, DEFAULT_HEAP_MB);
  }

  /** Starts the process with a heap of that size, and ends it when the heap is exhausted. */
  PlatformProcess(PlatformFixture fixture, Path folder, int descriptors, int heapMb)
      throws IOException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    ProcessBuilder builder =
        new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -n " + descriptors + "; exec \"$@\"",
                "sh",
                java,
                "-Xmx" + heapMb + "m",
                "-XX:+UseSerialGC",
                "-XX:+ExitOnOutOfMemoryError",
                "-XX:TieredStopAtLevel=1",
                "-Djava.io.tmpdir=" + folder,
                "-cp",
                System.getProperty("java.class.path"),
                "flintlead.cli.Main",
                "platform")
            .redirectErrorStream(true);
    builder.environment().put("ROUTER_CONFIG", fixture.file.toString());
    process = builder.start();
    BufferedReader lines = process.inputReader();
    TestIo.inBackground(
        () -> {
          for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            log.add(line);
          }
        });
  }

  /** Waits until the process listens, and returns its port. */
  int awaitPort() {
    await()
        .atMost(READY_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .until(() -> log.stream().anyMatch(line -> line.contains(LISTENING)));
    String line = log.stream().filter(each -> each.contains(LISTENING)).findFirst().orElseThrow();
    return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
  }

  /** Whether the process has started to listen. */
  boolean hasListened() {
    return log.stream().anyMatch(line -> line.contains(LISTENING));
  }

  /** Sends the process a signal, named as for {@code kill}. */
  void signal(String name) throws IOException {
    if (!ChildProcess.signal(process, name)) {
      throw new IOException("kill -" + name + " failed");
    }
  }

  /** Stops the process with SIGSTOP; returns once all of its threads are stopped. */
  void suspend() throws IOException {
    signal("STOP");
    await().until(this::isStopped);
  }

  private boolean isStopped() throws IOException {
    Path threads = Path.of("/proc", Long.toString(process.pid()), "task");
    try (Stream<Path> each = Files.list(threads)) {
      for (Path thread : each.toList()) {
        String stat = Files.readString(thread.resolve("stat"));
        if (!stat.substring(stat.lastIndexOf(')')).startsWith(") T")) {
          return false;
        }
      }
    }
    return true;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Waits until the process has ended, and returns its exit code. */
  int waitFor() throws InterruptedException {
    return process.waitFor();
  }

  @Override
  public void close() throws InterruptedException {
    process.destroyForcibly().waitFor();
    if (log.stream().anyMatch(line -> line.contains(PlatformFixture.VIOLATION))) {
      throw new AssertionError(log);
    }
  }
}
