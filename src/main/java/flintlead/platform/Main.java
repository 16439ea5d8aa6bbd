package flintlead.platform;

import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import java.io.IOException;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** The command {@code flintlead.jar platform}: runs one gateway until SIGTERM. */
public final class Main {

  private static final int EXIT_OK = 0;
  private static final int EXIT_WARM_UP_FAILED = 1;
  private static final int EXIT_BAD_CONFIGURATION = 2;
  private static final String CONFIGURATION_VARIABLE = "ROUTER_CONFIG";
  private static final Span ARCHIVE_WARM_UP_TIMEOUT = Span.ofMillis(10_000);

  /** A longer warm-up would keep a restarted gateway out of service without any benefit. */
  private static final Span WARM_UP_TIMEOUT = Span.ofMillis(2_500);

  /** How long to wait at exit until the last log lines are written. */
  private static final Span LOG_FLUSH_TIMEOUT = Span.ofMillis(200);

  private Main() {}

  /**
   * Serves until SIGTERM.
   *
   * @param archive whether to run only the warm-up from which the build creates the class archive
   * @return the process's exit code
   */
  public static int run(boolean archive) {
    SignalHandler signals = new SignalHandler(NettyEventLoop::clock);
    // Installed first: by default the JVM ends on SIGHUP, and on SIGTERM with its own exit code.
    Signal.handle(new Signal("HUP"), signal -> signals.reload());
    Path folder = Path.of(System.getProperty("java.io.tmpdir"));
    if (archive) {
      return runWarmUpOnly(folder);
    }
    Signal.handle(new Signal("TERM"), signal -> signals.shutdown());
    String file = System.getenv(CONFIGURATION_VARIABLE);
    if (file == null || file.isEmpty()) {
      System.err.println("flintlead: " + CONFIGURATION_VARIABLE + " is not set");
      return EXIT_BAD_CONFIGURATION;
    }
    return serve(Path.of(file), folder, signals);
  }

  private static int serve(Path file, Path folder, SignalHandler signals) {
    Logger log = createLog();
    try {
      PlatformServer server = new PlatformServer(file, log);
      warmUp(folder, log);
      signals.starting();
      Address address = server.start();
      log.atInfo().addKeyValue("address", address).log("gateway_listening");
      signals.started(server);
      server.awaitTermination();
      return EXIT_OK;
    } catch (IllegalArgumentException | IOException e) {
      System.err.println("flintlead: " + e.getMessage());
      return EXIT_BAD_CONFIGURATION;
    } finally {
      flushLog();
    }
  }

  private static void flushLog() {
    if (LoggerFactory.getILoggerFactory() instanceof RateLimitedLog log) {
      try {
        log.flush(LOG_FLUSH_TIMEOUT);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /**
   * Selects {@link RateLimitedLog} as the SLF4J provider; must run before any class requests a
   * logger.
   */
  private static Logger createLog() {
    setIfAbsent("slf4j.provider", RateLimitedLog.class.getName());
    setIfAbsent("slf4j.internal.verbosity", "WARN");
    return LoggerFactory.getLogger(Main.class.getPackageName());
  }

  private static void setIfAbsent(String property, String value) {
    if (System.getProperty(property) == null) {
      System.setProperty(property, value);
    }
  }

  private static int runWarmUpOnly(Path folder) {
    Logger log = createLog();
    try {
      WarmUp.runForArchive(folder, ARCHIVE_WARM_UP_TIMEOUT, log);
      // Logged here also so that the archive contains the classes for an event with keys.
      log.atInfo().addKeyValue("folder", folder).log("warm_up_completed");
      return EXIT_OK;
    } catch (IOException e) {
      System.err.println("flintlead: " + e.getMessage());
      return EXIT_WARM_UP_FAILED;
    }
  }

  private static void warmUp(Path folder, Logger log) {
    try {
      WarmUp.run(folder, WARM_UP_TIMEOUT);
    } catch (IOException | RuntimeException e) {
      log.atWarn().addKeyValue("error", e).log("warm_up_failed");
    }
  }
}
