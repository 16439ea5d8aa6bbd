package flintlead.platform;

import java.util.Locale;

/** Why an invocation was rejected before it was submitted to the scheduler. */
enum RejectReason {
  /** The limit on invocations or on the size of their bodies is reached. */
  ADMISSION_BOUND,
  /** Its client's timeout may have expired before it was read. */
  EXPIRED_ON_ARRIVAL,
  /** The gateway is about to stop. */
  STOPPING;

  /** The name used in log events. */
  String key() {
    return "rejected_" + name().toLowerCase(Locale.ROOT);
  }
}
