package flintlead.platform;

import flintlead.configuration.startup.StartupSettings;
import flintlead.time.Span;

/**
 * Times of the steps of a shutdown, counted from its signal.
 *
 * @param drainAfter when connections start to close after their next response
 * @param abandonAfter when every invocation that is still open gets its final response
 */
record ShutdownTimes(Span drainAfter, Span abandonAfter) {

  /** Interval between checks whether everything has ended. */
  static final Span POLL_INTERVAL = Span.ofMillis(20);

  /** Time allowed for sending the final responses. */
  private static final Span FINAL_RESPONSE_TIME = Span.ofMillis(100);

  /**
   * How long the gateway goes on rejecting new invocations after the final responses, if clients
   * keep sending and the platform does not kill it.
   */
  static final Span REJECTION_PERIOD = Span.ofMillis(5_000);

  /**
   * Covers late requests: after SIGTERM, the protocol allows new connections for 0.4 s and requests
   * on them for another 0.2 s.
   */
  private static final Span LATE_REQUEST_PERIOD = Span.ofMillis(750);

  /**
   * SIGKILL follows SIGTERM no sooner than after the longest client timeout, capped at this value,
   * plus {@link #KILL_GRACE}.
   */
  private static final Span MAX_CLIENT_TIMEOUT = Span.ofMillis(3_000);

  /** Time that the platform adds to the longest client timeout before it sends SIGKILL. */
  private static final Span KILL_GRACE = Span.ofMillis(700);

  /** Computes the times from a deployment's client timeouts. */
  static ShutdownTimes of(StartupSettings settings) {
    Span longest = Span.ZERO;
    for (int i = 0; i < (int) settings.number("services.count"); i++) {
      longest = Span.longer(longest, settings.span("services." + i + ".deadline"));
    }
    Span abandonAfter =
        Span.shorter(longest, MAX_CLIENT_TIMEOUT).plus(KILL_GRACE).minus(FINAL_RESPONSE_TIME);
    return new ShutdownTimes(Span.shorter(LATE_REQUEST_PERIOD, abandonAfter), abandonAfter);
  }
}
