package flintlead.platform;

import flintlead.time.Span;
import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Writes lines on a separate thread, so that a blocked output does not block the callers. Lines
 * that do not fit in the queue are dropped. Thread-safe.
 */
final class BackgroundWriter implements LogOutput {

  private static final int MAX_QUEUED_LINES = 1_024;
  private static final long FLUSH_POLL_MILLIS = 5;

  private final PrintStream out;
  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

  /** Number of accepted lines that are not written yet. */
  private final AtomicInteger unwritten = new AtomicInteger();

  /** Starts the writer thread, which is a daemon. */
  BackgroundWriter(PrintStream out) {
    this.out = out;
    Thread writer = new Thread(this::writeLines, "log-writer");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public boolean write(String text) {
    unwritten.incrementAndGet();
    boolean queued = lines.offer(text);
    if (!queued) {
      unwritten.decrementAndGet();
    }
    return queued;
  }

  private void writeLines() {
    try {
      while (true) {
        out.println(lines.take());
        unwritten.decrementAndGet();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void flush(Span timeout) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(timeout.micros());
    while (unwritten.get() > 0 && System.nanoTime() < end) {
      TimeUnit.MILLISECONDS.sleep(FLUSH_POLL_MILLIS);
    }
  }
}
