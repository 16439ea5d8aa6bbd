package flintlead.platform;

import flintlead.time.Moment;
import java.util.function.Supplier;

/**
 * Forwards SIGHUP and SIGTERM to the server, whether they arrive before, during or after its start.
 * Thread-safe.
 */
final class SignalHandler {

  private enum Phase {
    /** No client was accepted yet: SIGTERM ends the process immediately. */
    PREPARING,
    /** The server may already be listening: signals are deferred until it has started. */
    STARTING,
    STARTED
  }

  private Phase phase = Phase.PREPARING;
  private PlatformServer server;
  private boolean reloadRequested;
  private Moment shutdownRequestedAt;
  private final Supplier<Moment> clock;

  /**
   * Creates a handler.
   *
   * @param clock the monotonic clock of the server's event loop
   */
  SignalHandler(Supplier<Moment> clock) {
    this.clock = clock;
  }

  /** Handles SIGHUP. */
  synchronized void reload() {
    reloadRequested = true;
    if (phase == Phase.STARTED) {
      server.reload();
    }
  }

  /** Handles SIGTERM. */
  synchronized void shutdown() {
    if (shutdownRequestedAt == null) {
      shutdownRequestedAt = clock.get();
    }
    switch (phase) {
      case PREPARING -> Runtime.getRuntime().halt(0);
      case STARTED -> server.shutdown(shutdownRequestedAt);
      default -> {
        // Forwarded once the server has started.
      }
    }
  }

  /** Called before the server starts to listen. */
  synchronized void starting() {
    phase = Phase.STARTING;
  }

  /** Called when the server has started; forwards the signals that arrived in the meantime. */
  synchronized void started(PlatformServer started) {
    server = started;
    phase = Phase.STARTED;
    if (reloadRequested) {
      server.reload();
    }
    if (shutdownRequestedAt != null) {
      server.shutdown(shutdownRequestedAt);
    }
  }
}
