package flintlead.platform.journal;

import flintlead.time.Moment;
import flintlead.transport.loop.Address;
import org.slf4j.Logger;

/** Reports failures of the watch once for each outage, and how many there were at its end. */
final class WatchFailures {

  private final Logger log;
  private int count;
  private Moment firstAt;
  private String lastReason;

  WatchFailures(Logger log) {
    this.log = log;
  }

  /** Failures in a row. */
  int count() {
    return count;
  }

  /** The watch failed; logged where it is the first time, or for another reason than the last. */
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

  /** A line came that is in order. */
  void succeeded(Moment now) {
    if (count > 0) {
      log.atInfo()
          .addKeyValue("failures", count)
          .addKeyValue("after_ms", now.since(firstAt).micros() / 1_000)
          .log("journal_watch_restored");
      reset();
    }
  }

  /** Begins to count anew. */
  void reset() {
    count = 0;
    lastReason = null;
  }
}
