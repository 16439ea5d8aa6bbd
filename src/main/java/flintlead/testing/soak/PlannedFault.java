package flintlead.testing.soak;

import java.util.Locale;

/**
 * One fault of a schedule.
 *
 * @param atMillis after the start of the traffic
 * @param lengthMillis how long it lasts
 * @param target index of the gateway or host; 0 where there is only one
 */
public record PlannedFault(long atMillis, long lengthMillis, FaultKind kind, int target) {

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%6d ms  %-14s %s %d for %d ms",
        atMillis,
        kind,
        kind.target().name().toLowerCase(Locale.ROOT),
        target,
        lengthMillis);
  }
}
