package flintlead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.io.ByteArrayOutputStream;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.event.Level;

/** Format and rate limit of the gateway's log. */
class RateLimitedLogTest {

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private Moment now = new Moment(0);
  private final RateLimitedLog provider = new RateLimitedLog(this::print, () -> now, Level.INFO);
  private final Logger log = provider.getLogger("flintlead.platform");

  private boolean print(String text) {
    new PrintStream(bytes, true, StandardCharsets.UTF_8).println(text);
    return true;
  }

  private List<String> lines() {
    return bytes.toString(StandardCharsets.UTF_8).lines().toList();
  }

  @Test
  void anEventIsOneLineOfItsNameAndItsKeys() {
    log.atWarn()
        .addKeyValue("host", "s-1")
        .addKeyValue("reason", "a line that does not end")
        .log("host_response_malformed");
    assertEquals(
        List.of(
            "flintlead: WARN host_response_malformed host=s-1 reason=\"a line that does not end\""),
        lines());
  }

  @Test
  void aValueCannotBreakTheLineOrForgeAKey() {
    log.atInfo()
        .addKeyValue("name", "a\nflintlead: ERROR forged")
        .addKeyValue("quoted", "x\" open=\"7")
        .addKeyValue("empty", "")
        .addKeyValue("none", (Object) null)
        .log("event");
    assertEquals(
        List.of(
            "flintlead: INFO event name=\"a\\nflintlead: ERROR forged\""
                + " quoted=\"x\\\" open=\\\"7\" empty=\"\" none=null"),
        lines());
  }

  @Test
  void aMessageWithoutKeysCarriesItsLoggersName() {
    provider.getLogger("io.netty.Thing").warn("{} went {}", "it", "wrong");
    assertEquals(List.of("flintlead: WARN io.netty.Thing: it went wrong"), lines());
  }

  @Test
  void librariesLogFromWarnOnAndThisProgramFromInfoOn() {
    Logger library = provider.getLogger("io.netty.Thing");
    assertFalse(library.isInfoEnabled());
    assertTrue(library.isWarnEnabled());
    assertFalse(log.isDebugEnabled());
    library.atInfo().addKeyValue("key", 1).log("event");
    library.info("text");
    log.atDebug().addKeyValue("key", 1).log("event");
    assertEquals(List.of(), lines());
  }

  @Test
  void anExceptionIsLoggedWithItsStackTrace() {
    log.atError().addKeyValue("client", 1).setCause(new IllegalStateException("x")).log("event");
    assertEquals("flintlead: ERROR event client=1", lines().get(0));
    assertEquals("java.lang.IllegalStateException: x", lines().get(1));
  }

  @Test
  void aFloodIsLimitedAndSuppressedLinesAreCounted() {
    for (int i = 0; i < 10 * RateLimitedLog.BURST; i++) {
      log.atWarn().addKeyValue("number", i).log("event");
    }
    assertEquals(RateLimitedLog.BURST, lines().size());
    now = now.plus(Span.ofMillis(1_000 / RateLimitedLog.LINES_PER_SECOND));
    log.atWarn().addKeyValue("number", "last").log("event");
    log.atWarn().addKeyValue("number", "one too many").log("event");
    List<String> written = lines();
    assertEquals(RateLimitedLog.BURST + 2, written.size());
    assertEquals(
        "flintlead: WARN log_lines_suppressed count=" + 9 * RateLimitedLog.BURST,
        written.get(RateLimitedLog.BURST));
    assertEquals("flintlead: WARN event number=last", written.get(RateLimitedLog.BURST + 1));
  }

  @Test
  void aLongValueIsTruncated() {
    log.atInfo().addKeyValue("value", "x".repeat(100_000)).log("event");
    assertTrue(lines().get(0).length() < 2_000);
  }

  /** The reader of standard error may stop reading; the gateway must not block. */
  @Test
  void aReaderThatStopsReadingDoesNotBlockTheWriter() throws Exception {
    PipedInputStream unread = new PipedInputStream(16);
    PrintStream full = new PrintStream(new PipedOutputStream(unread), true, StandardCharsets.UTF_8);
    BackgroundWriter writer = new BackgroundWriter(full);
    int queued = 0;
    for (int i = 0; i < 3_000; i++) {
      queued += writer.write("a line that nobody reads") ? 1 : 0;
    }
    assertTrue(queued >= 1_024 && queued < 3_000, queued + " lines queued, the rest dropped");
  }
}
