package flintlead.platform.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.time.Moment;
import flintlead.time.Span;
import org.junit.jupiter.api.Test;

/** The earliest time at which a heartbeat can have been written. */
class HeartbeatAgeTest {

  private static Moment at(double millis) {
    return new Moment(10_000_000).plus(Span.ofMillis(millis));
  }

  @Test
  void theFirstHeartbeatMayBeAsOldAsTheRequest() {
    assertEquals(at(0), new HeartbeatAge(at(0)).earliestWriteTime(at(900)));
  }

  /**
   * A service whose interval is slightly longer than a second must not be taken for a late one as
   * time goes by.
   */
  @Test
  void timelyHeartbeatsCountAsRecentHoweverLongTheConnectionLasts() {
    HeartbeatAge ages = new HeartbeatAge(at(0));
    for (int i = 1; i < 10_000; i++) {
      Moment arrived = at(i * 1_010);
      Span age = arrived.since(ages.earliestWriteTime(arrived));
      assertTrue(age.isShorterThan(Span.ofMillis(1_011)), "heartbeat " + i);
    }
  }

  @Test
  void increasinglyLateHeartbeatsCountAsOld() {
    HeartbeatAge ages = new HeartbeatAge(at(0));
    Moment written = null;
    for (int i = 1; i <= 10; i++) {
      written = ages.earliestWriteTime(at(i * 1_500));
    }
    assertEquals(at(9 * 1_050), written, "the tenth heartbeat arrives after 15 s");
  }

  @Test
  void aBurstOfHeartbeatsIsNotDatedAfterItsArrival() {
    HeartbeatAge ages = new HeartbeatAge(at(0));
    for (int i = 0; i < 5; i++) {
      ages.earliestWriteTime(at(1_000));
    }
    assertEquals(at(1_000), ages.earliestWriteTime(at(1_000)));
  }
}
