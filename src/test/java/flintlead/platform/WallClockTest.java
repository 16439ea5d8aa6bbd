package flintlead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import flintlead.time.Moment;
import org.junit.jupiter.api.Test;

/** Conversion of times while the wall clock is stepped. */
class WallClockTest {

  private static final long HOUR_MILLIS = 3_600_000;

  private long monotonicMillis = 50_000;
  private long unixMillis = 1_700_000_000_000L;
  private final WallClock clock =
      new WallClock(() -> new Moment(monotonicMillis * 1_000), () -> unixMillis);

  private void pass(long millis) {
    monotonicMillis += millis;
    unixMillis += millis;
  }

  private long agoMillis(long unixTime) {
    return monotonicMillis - clock.toMoment(unixTime).micros() / 1_000;
  }

  @Test
  void aTimeIsAsLongAgoAsTheWallClockShows() {
    pass(2_000);
    assertEquals(500, agoMillis(unixMillis - 500));
    assertEquals(0, agoMillis(unixMillis));
  }

  @Test
  void afterAStepForwardATimeWrittenBeforeItIsNotAnHourAgo() {
    pass(2_000);
    long startedAt = unixMillis - 500;
    unixMillis += HOUR_MILLIS;
    assertEquals(500, agoMillis(startedAt));
    assertEquals(300, agoMillis(unixMillis - 300), "written after the step");
  }

  @Test
  void afterAStepBackATimeWrittenBeforeItIsNotAnHourAhead() {
    pass(2_000);
    long startedAt = unixMillis - 500;
    unixMillis -= HOUR_MILLIS;
    assertEquals(500, agoMillis(startedAt));
    assertEquals(300, agoMillis(unixMillis - 300), "written after the step");
  }

  @Test
  void aTimeThatEveryOffsetPutsInTheFutureIsNow() {
    assertEquals(0, agoMillis(unixMillis + HOUR_MILLIS));
  }

  @Test
  void driftIsFollowed() {
    for (int i = 0; i < 10; i++) {
      pass(1_000);
      unixMillis += 100;
      assertEquals(0, agoMillis(unixMillis));
    }
  }
}
