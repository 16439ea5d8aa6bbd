package flintlead.platform;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.time.TokenBucket;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.function.Supplier;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.Logger;
import org.slf4j.event.Level;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * The gateway's log on standard error: an SLF4J provider for a process too small for Logback,
 * selected by the system property {@code slf4j.provider}. It writes this program's events from
 * level INFO on and those of libraries from level WARN on.
 *
 * <p>The rate is limited, stack traces included, so that logging an event for every request can't
 * use up the gateway's share of a core. Suppressed lines are counted and reported as {@code
 * log_lines_suppressed} before the next line. Writing never blocks the caller, even if the reader
 * of standard error stops reading. Thread-safe.
 */
public final class RateLimitedLog implements SLF4JServiceProvider, ILoggerFactory {

  /** Number of lines that may be written at once after a period with few lines. */
  static final int BURST = 200;

  /**
   * Sustained rate of lines. A journal service that is down for long causes up to 1.7 lines per
   * second, which must not suppress other lines.
   */
  static final double LINES_PER_SECOND = 2;

  /**
   * The same limits at level DEBUG, which is used for diagnosis and may log lines for every
   * request.
   */
  private static final int DEBUG_BURST = 20_000;

  private static final double DEBUG_LINES_PER_SECOND = 2_000;

  /** The environment variable that sets the level of this program's events. */
  private static final String LEVEL_VARIABLE = "FLINTLEAD_LOG";

  private static final String OWN_PACKAGE = "flintlead.";

  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final MDCAdapter mdcAdapter = new NOPMDCAdapter();
  private final Level ownLevel;
  private final int burst;
  private final double linesPerSecond;
  private final TokenBucket budget;
  private final LogOutput out;
  private final Supplier<Moment> clock;
  private long suppressed;

  /** Creates a log on standard error; called by SLF4J. */
  public RateLimitedLog() {
    this(
        new BackgroundWriter(System.err),
        () -> new Moment(System.nanoTime() / 1_000),
        "debug".equalsIgnoreCase(System.getenv(LEVEL_VARIABLE)) ? Level.DEBUG : Level.INFO);
  }

  /**
   * Creates a log.
   *
   * @param ownLevel the lowest level of this program's events that is written
   */
  RateLimitedLog(LogOutput out, Supplier<Moment> clock, Level ownLevel) {
    this.out = out;
    this.clock = clock;
    this.ownLevel = ownLevel;
    boolean detailed = ownLevel == Level.DEBUG;
    this.burst = detailed ? DEBUG_BURST : BURST;
    this.linesPerSecond = detailed ? DEBUG_LINES_PER_SECOND : LINES_PER_SECOND;
    this.budget = new TokenBucket(burst);
  }

  @Override
  public Logger getLogger(String name) {
    return new LogfmtLogger(
        name, name.startsWith(OWN_PACKAGE) ? ownLevel : Level.WARN, this::write);
  }

  private synchronized void write(String line, Throwable cause) {
    if (!budget.refill(clock.get(), linesPerSecond, burst)) {
      suppressed++;
      return;
    }
    budget.spend();
    if (suppressed > 0 && out.write("flintlead: WARN log_lines_suppressed count=" + suppressed)) {
      suppressed = 0;
    }
    if (!out.write(cause == null ? line : line + System.lineSeparator() + stackTrace(cause))) {
      suppressed++;
    }
  }

  private static String stackTrace(Throwable cause) {
    StringWriter text = new StringWriter();
    cause.printStackTrace(new PrintWriter(text));
    return text.toString().stripTrailing();
  }

  /** Waits until all logged lines are written, for at most the timeout. */
  void flush(Span timeout) throws InterruptedException {
    out.flush(timeout);
  }

  @Override
  public ILoggerFactory getLoggerFactory() {
    return this;
  }

  @Override
  public IMarkerFactory getMarkerFactory() {
    return markers;
  }

  @Override
  public MDCAdapter getMDCAdapter() {
    return mdcAdapter;
  }

  @Override
  public String getRequestedApiVersion() {
    return "2.0.99";
  }

  @Override
  public void initialize() {
    // Nothing to initialize.
  }
}
