package flintlead.daemon;

import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Reads the key files again at regular intervals, so that keys can be replaced while the gateway
 * runs.
 */
final class KeyReloader {

  private static final Span INTERVAL = Span.ofMillis(10_000);

  private final EventExecutor loop;
  private final Executor disk;
  private final List<Path> files;
  private final Consumer<List<byte[]>> keys;
  private final Consumer<String> log;

  /**
   * Creates a reloader that does nothing before {@link #schedule}.
   *
   * @param disk runs the reads
   * @param keys receives the keys, on the loop
   */
  KeyReloader(
      EventExecutor loop,
      Executor disk,
      List<Path> files,
      Consumer<List<byte[]>> keys,
      Consumer<String> log) {
    this.loop = loop;
    this.disk = disk;
    this.files = files;
    this.keys = keys;
    this.log = log;
  }

  /** Schedules the next read, after which the one after that is scheduled; on the loop. */
  void schedule() {
    loop.scheduleAfter(INTERVAL, () -> disk.execute(this::read));
  }

  private void read() {
    try {
      List<byte[]> current = KeyFiles.read(files);
      loop.execute(() -> keys.accept(current));
    } catch (IOException | RuntimeException e) {
      log.accept("keys between gateways: " + e.getMessage() + "; those before stay");
    } finally {
      loop.execute(this::schedule);
    }
  }
}
