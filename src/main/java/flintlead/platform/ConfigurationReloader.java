package flintlead.platform;

import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import java.io.IOException;
import java.util.function.Consumer;
import org.slf4j.Logger;

/**
 * Reloads the configuration file when it may have changed. If the file can't be read or is
 * malformed, the reload is retried several times, because the file may be only partly written. Used
 * on the event loop only.
 */
final class ConfigurationReloader {

  private static final Span RETRY_INTERVAL = Span.ofMillis(100);
  private static final int MAX_RETRIES = 30;

  private final ConfigurationFile file;
  private final EventExecutor loop;
  private final Consumer<PlatformConfig> onReload;
  private final Logger log;
  private boolean stopped;

  /**
   * Creates a reloader, which reads the file only when one of its methods is called.
   *
   * @param onReload receives the configuration after each successful reload
   * @param log receives {@code configuration_reloaded} and {@code configuration_reload_failed}
   */
  ConfigurationReloader(
      ConfigurationFile file, EventExecutor loop, Consumer<PlatformConfig> onReload, Logger log) {
    this.file = file;
    this.loop = loop;
    this.onReload = onReload;
    this.log = log;
  }

  /** Reloads the file. */
  void reload() {
    reload(MAX_RETRIES);
  }

  /**
   * Reloads the file if it has changed. This covers a SIGHUP that was lost, or that the JVM does
   * not handle because the parent process had set it to be ignored.
   */
  void reloadIfModified() {
    try {
      if (file.isModified()) {
        reload();
      }
    } catch (IOException e) {
      // The file is being replaced: the next call checks again.
    }
  }

  /** Stops reloading. */
  void stop() {
    stopped = true;
  }

  private void reload(int retries) {
    if (stopped) {
      return;
    }
    try {
      PlatformConfig configuration = file.read();
      log.atInfo().addKeyValue("journal", configuration.journal()).log("configuration_reloaded");
      onReload.accept(configuration);
    } catch (IOException | IllegalArgumentException e) {
      if (retries > 0) {
        loop.scheduleAfter(RETRY_INTERVAL, () -> reload(retries - 1));
      } else {
        log.atWarn().addKeyValue("error", e.getMessage()).log("configuration_reload_failed");
      }
    }
  }
}
