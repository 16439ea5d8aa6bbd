package flintlead.scheduling.state;

import flintlead.time.Moment;
import java.util.ArrayDeque;

/** Counts events in a sliding window. */
public final class SlidingWindowCounter {

  private final ArrayDeque<Moment> events = new ArrayDeque<>();

  /** Adds an event; its time must not be before that of an event added earlier. */
  public void add(Moment at) {
    events.addLast(at);
  }

  /** Returns the number of events at or after the start of the window; drops earlier ones. */
  public int countSince(Moment windowStart) {
    while (!events.isEmpty() && events.peekFirst().isBefore(windowStart)) {
      events.removeFirst();
    }
    return events.size();
  }
}
