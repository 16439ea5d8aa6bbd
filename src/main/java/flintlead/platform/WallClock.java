package flintlead.platform;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Converts wall-clock times, as written by other machines, to the gateway's monotonic clock. The
 * wall clock may be stepped at any time, before or after a time was written with it. Therefore all
 * recently observed offsets between the two clocks are kept, and a time is converted with the
 * offset that gives the latest result that is not in the future. A host's start is thus never taken
 * to be longer ago than it is, which would end its slow start too soon.
 */
final class WallClock {

  /** Smaller changes of the offset are drift, or the time between reading the two clocks. */
  private static final Span MIN_STEP = Span.ofMillis(250);

  /** Maximum number of offsets kept; the oldest is dropped. */
  private static final int MAX_OFFSETS = 8;

  /** Times that lie in the future by at most this much are accepted: they were written just now. */
  private static final Span FUTURE_TOLERANCE = Span.ofMillis(1_000);

  private final Supplier<Moment> monotonic;
  private final LongSupplier unixMillis;

  /** Observed offsets: wall-clock time minus monotonic time, in microseconds. */
  private final List<Long> offsetsMicros = new ArrayList<>();

  /**
   * Creates a converter and reads both clocks.
   *
   * @param unixMillis the wall clock, in milliseconds since the Unix epoch
   */
  WallClock(Supplier<Moment> monotonic, LongSupplier unixMillis) {
    this.monotonic = monotonic;
    this.unixMillis = unixMillis;
    observe(monotonic.get());
  }

  /** Records the present offset between the clocks. */
  private void observe(Moment now) {
    long offsetMicros = unixMillis.getAsLong() * 1_000 - now.micros();
    for (int i = 0; i < offsetsMicros.size(); i++) {
      if (Math.abs(offsetsMicros.get(i) - offsetMicros) < MIN_STEP.micros()) {
        offsetsMicros.set(i, offsetMicros);
        return;
      }
    }
    offsetsMicros.add(offsetMicros);
    if (offsetsMicros.size() > MAX_OFFSETS) {
      offsetsMicros.remove(0);
    }
  }

  /**
   * Converts a time to the monotonic clock; the result is never more than a second after the
   * present.
   */
  Moment toMoment(long unixTimeMillis) {
    Moment now = monotonic.get();
    observe(now);
    Moment latest = null;
    for (long offsetMicros : offsetsMicros) {
      Moment candidate = new Moment(unixTimeMillis * 1_000 - offsetMicros);
      boolean possible = !candidate.isAfter(now.plus(FUTURE_TOLERANCE));
      if (possible && (latest == null || candidate.isAfter(latest))) {
        latest = candidate;
      }
    }
    return latest == null ? now : latest;
  }
}
