package flintlead.testing.scenario;

import flintlead.time.Moment;
import flintlead.transport.loop.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * What all parts of one scenario run share. Created and closed by the thread that runs the
 * scenario.
 */
final class RunContext {

  final Scenario scenario;
  final long seed;
  final Environment environment;

  /** The event loop of the hosts, the registry and the fault script. */
  final EventLoop hostLoop;

  /** The event loop of all clients. */
  final EventLoop clientLoop;

  /** Chance of the fault script; on the host loop once the run has begun. */
  final Random scriptRandom;

  /** Where Unix sockets lie. */
  final Path directory;

  /** When the traffic began; set before the first invocation. */
  private Moment startedAt;

  /** No new invocation, retry, notice or restart begins any more. */
  private volatile boolean ending;

  RunContext(Scenario scenario, long seed, Environment environment) throws IOException {
    this.scenario = scenario;
    this.seed = seed;
    this.environment = environment;
    this.hostLoop = environment.eventLoop("hosts");
    this.clientLoop = environment.eventLoop("clients");
    this.scriptRandom = new Random(seed);
    this.directory = environment.directory();
  }

  void markStarted() {
    startedAt = environment.now();
  }

  Moment startedAt() {
    return startedAt;
  }

  void markEnding() {
    ending = true;
  }

  boolean isEnding() {
    return ending;
  }

  /**
   * Runs a task on an event loop and waits for it; an exception in it is thrown here. Not from that
   * loop itself.
   */
  static void runOn(EventLoop loop, Runnable task) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            task.run();
            done.complete(null);
          } catch (RuntimeException e) {
            done.completeExceptionally(e);
          }
        });
    done.join();
  }
}
