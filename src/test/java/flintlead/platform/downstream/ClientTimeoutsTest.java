package flintlead.platform.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import flintlead.platform.downstream.ClientTimeouts.Expiry;
import flintlead.time.Moment;
import flintlead.time.Span;
import org.junit.jupiter.api.Test;

/** Timeouts of a client connection. */
class ClientTimeoutsTest {

  private static final Moment START = new Moment(1_000_000);
  private final ClientTimeouts timeouts = new ClientTimeouts(START);

  private static Moment at(double millis) {
    return START.plus(Span.ofMillis(millis));
  }

  @Test
  void theFirstRequestMustBeCompleteInTime() {
    timeouts.received(true, at(2_000));
    assertEquals(Expiry.NONE, timeouts.check(at(2_300), 0, false));
    assertEquals(Expiry.REQUEST_INCOMPLETE, timeouts.check(at(2_301), 0, false));
  }

  @Test
  void aLaterRequestMustBeCompleteInTimeAfterItsFirstByte() {
    timeouts.requestRead(at(10));
    timeouts.responseWritten(at(20));
    timeouts.received(true, at(5_000));
    timeouts.received(true, at(7_000));
    assertEquals(Expiry.NONE, timeouts.check(at(7_300), 0, false));
    assertEquals(Expiry.REQUEST_INCOMPLETE, timeouts.check(at(7_301), 0, false));
  }

  @Test
  void anIdleConnectionIsKeptForLongerAndABusyOneUntilItsResponse() {
    timeouts.requestRead(at(0));
    assertEquals(Expiry.NONE, timeouts.check(at(60_000), 0, true));
    timeouts.responseWritten(at(60_000));
    assertEquals(Expiry.NONE, timeouts.check(at(66_000), 0, false));
    assertEquals(Expiry.IDLE, timeouts.check(at(66_001), 0, false));
  }

  @Test
  void aResponseMustBeReadInTimeAlsoWhileBusy() {
    timeouts.requestRead(at(0));
    assertEquals(Expiry.NONE, timeouts.check(at(100), 1, true));
    assertEquals(Expiry.NONE, timeouts.check(at(3_100), 1, true));
    assertEquals(Expiry.RESPONSE_UNREAD, timeouts.check(at(3_101), 1, true));
    assertEquals(Expiry.NONE, timeouts.check(at(3_102), 0, true));
    assertEquals(Expiry.NONE, timeouts.check(at(3_200), 1, true));
  }
}
