package flintlead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import flintlead.time.Moment;
import flintlead.time.Span;
import org.junit.jupiter.api.Test;

class SignalArrivalTest {

  private final SignalArrival arrival = new SignalArrival();

  private static Moment at(long millis) {
    return new Moment(millis * 1_000);
  }

  @Test
  void withoutAStallASignalWasSentWhenItWasHandled() {
    assertEquals(at(700), arrival.earliestSentAt(at(700)));
  }

  @Test
  void afterAStallASignalMayHaveBeenSentSinceItsStart() {
    arrival.recordStall(at(2_000), Span.ofMillis(600));
    assertEquals(at(1_400), arrival.earliestSentAt(at(2_250)));
    assertEquals(
        at(1_400), arrival.earliestSentAt(at(1_990)), "handled before the stall was detected");
    assertEquals(at(2_251), arrival.earliestSentAt(at(2_251)), "too long after the stall");
  }

  @Test
  void stallsInQuickSuccessionCountAsOne() {
    arrival.recordStall(at(2_000), Span.ofMillis(600));
    arrival.recordStall(at(2_300), Span.ofMillis(100));
    assertEquals(at(1_400), arrival.earliestSentAt(at(2_400)));
    arrival.recordStall(at(4_000), Span.ofMillis(200));
    assertEquals(at(3_800), arrival.earliestSentAt(at(4_100)));
  }
}
