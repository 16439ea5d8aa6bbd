package flintlead.testing.scenario;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.EventLoop;
import flintlead.transport.netty.NettyEventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;

/** Threads, loopback sockets and the machine's clock. */
public final class RealEnvironment implements Environment {

  private static final long NANOS_PER_MICRO = 1000;

  private Path folder;

  /** An environment without event loops yet. */
  public RealEnvironment() {}

  @Override
  public EventLoop eventLoop(String name) {
    return new NettyEventLoop(name);
  }

  @Override
  public Moment now() {
    return NettyEventLoop.clock();
  }

  @Override
  public long epochMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public void runAsync(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void advance(Span span) {
    LockSupport.parkNanos(span.micros() * NANOS_PER_MICRO);
  }

  @Override
  public void stall(EventLoop place, Span span, Runnable over) {
    place.execute(
        () -> {
          advance(span);
          over.run();
        });
  }

  @Override
  public Path directory() throws IOException {
    folder = folder == null ? Files.createTempDirectory("flintlead-day") : folder;
    return folder;
  }

  /** Removes the socket files; each event loop is closed by who opened it. */
  @Override
  public void close() throws IOException {
    if (folder != null) {
      try (var files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.deleteIfExists(file);
        }
      }
      Files.deleteIfExists(folder);
    }
  }
}
