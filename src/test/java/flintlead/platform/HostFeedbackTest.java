package flintlead.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import flintlead.configuration.startup.StartupSettings;
import flintlead.platform.upstream.HostResponseParser;
import flintlead.platform.upstream.ResponseFields;
import flintlead.scheduling.api.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The values that the scheduler gets from a host's response. */
class HostFeedbackTest {

  private final HostFeedback feedback =
      new HostFeedback(
          StartupSettings.parseLines("extra.counts_alike=true\nfeedback.names=waiting,cpu")
              .deployment());

  private static ResponseFields fields(String text) {
    List<ResponseFields> parsed = new ArrayList<>();
    HostResponseParser.Listener listener =
        new HostResponseParser.Listener() {
          @Override
          public void response(String tag, String status, ResponseFields fields, ByteBuf body) {
            parsed.add(fields);
          }

          @Override
          public void malformed(String reason) {
            throw new AssertionError(reason);
          }
        };
    new HostResponseParser(10, listener)
        .feed(Unpooled.copiedBuffer("a 200 " + text + " 0\r\n\r\n", StandardCharsets.US_ASCII));
    return parsed.get(0);
  }

  @ParameterizedTest
  @CsvSource({
    "OK, tell=hot, 1",
    "OK, tell=started, 2",
    "OK, tell=waited, 3",
    "OK, tell=broken, 0",
    "OK, tell=new, 0",
    "OK, ahead=5, 40",
    "OK, 'tell=waited,ahead=99', 243",
    "FULL, 'tell=hot,ahead=2', 17",
    "ERROR, 'tell=broken,ahead=2', 4",
    "ERROR, tell=hot, 0",
    "MISS, tell=broken, 4",
    "MISS, -, 0",
    "TIMEOUT, 'tell=hot,ahead=2', 0"
  })
  void theRemarkEncodesHowAnInstanceWasObtainedAndTheRequestsAhead(
      Outcome outcome, String fields, int remark) {
    assertEquals(remark, feedback.remark(outcome, fields(fields)));
  }

  @Test
  void requestsAheadCountOnlyIfTheDeploymentReportsThem() {
    HostFeedback without = new HostFeedback(StartupSettings.parseLines("").deployment());
    assertEquals(1, without.remark(Outcome.OK, fields("tell=hot,ahead=2")));
  }

  @Test
  void aLoadReportIsInTheOrderOfItsNames() {
    assertArrayEquals(
        new float[] {3.5f, 0.25f}, feedback.loadReport(fields("meter=cpu:0.25;waiting:3.5")));
    assertArrayEquals(new float[] {0, 0}, feedback.loadReport(fields("meter=cpu:NaN;other:1")));
    assertArrayEquals(new float[0], feedback.loadReport(fields("tell=hot")));
  }
}
