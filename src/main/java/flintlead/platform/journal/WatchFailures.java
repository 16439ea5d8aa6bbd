package flintlead.platform.journal;

import flintlead.time.Moment;
import flintlead.transport.loop.Address;
import org.slf4j.Logger;

/**
 * Logs the failures of the watch, once for each reason, and their number when the watch works
 * again.
 */
final class WatchFailures {

  private final Logger log;
  private int count;
  private Moment firstAt;
  private String lastReason;

  WatchFailures(Logger log) {
    this.log = log;
  }

  /** Number of consecutive failures. */
  int count() {
    return count;
  }

  /** Records a failure. Logged if its reason differs from that of the failure before it. */
  void failed(Address address, String reason, long lastPosition, Moment now) {
    if (count++ == 0) {
      firstAt = now;
    }
    if (!reason.equals(lastReason)) {
      lastReason = reason;
      log.atWarn()
          .addKeyValue("address", address)
          .addKeyValue("reason", reason)
          .addKeyValue("last_position", lastPosition)
          .addKeyValue("failures", count)
          .log("journal_watch_failed");
    }
  }

  /** Records that a valid line was received, which ends the outage. */
  void succeeded(Moment now) {
    if (count > 0) {
      log.atInfo()
          .addKeyValue("failures", count)
          .addKeyValue("after_ms", now.since(firstAt).micros() / 1_000)
          .log("journal_watch_restored");
      reset();
    }
  }

  /** Resets the number of failures and the last reason. */
  void reset() {
    count = 0;
    lastReason = null;
  }
}
