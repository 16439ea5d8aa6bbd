package flintlead.discovery.registry;

import flintlead.discovery.snapshot.Snapshot;
import flintlead.discovery.snapshot.SnapshotFile;
import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Writes the newest state to a snapshot file, one write at a time, on an executor of its own: a
 * slow disk must not delay the loop. All methods are called on the loop.
 */
final class SnapshotWriter {

  /** Changes come in bursts; the disk is used once for each burst. */
  private static final Span DELAY = Span.ofMillis(200);

  private final EventExecutor loop;
  private final SnapshotFile file;
  private final Executor executor;
  private final Supplier<Snapshot> current;
  private boolean writing;
  private boolean dirty;
  private boolean closed;

  /**
   * Creates a writer.
   *
   * @param file null to write nothing
   * @param executor runs the writes
   * @param current returns the state to write; called on the loop
   */
  SnapshotWriter(
      EventExecutor loop, SnapshotFile file, Executor executor, Supplier<Snapshot> current) {
    this.loop = loop;
    this.file = file;
    this.executor = executor;
    this.current = current;
  }

  /** Schedules a write, unless one is scheduled or under way; then another one follows it. */
  void schedule() {
    dirty = true;
    if (file == null || writing) {
      return;
    }
    writing = true;
    loop.scheduleAfter(DELAY, this::write);
  }

  private void write() {
    dirty = false;
    Snapshot snapshot = current.get();
    executor.execute(
        () -> {
          file.write(snapshot);
          loop.execute(this::written);
        });
  }

  private void written() {
    writing = false;
    if (dirty && !closed) {
      schedule();
    }
  }

  /** Begins no further write after the one that is scheduled. */
  void close() {
    closed = true;
  }
}
