package flintlead.scheduling;

import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.api.Outcome;
import org.junit.jupiter.api.Test;

/** The state of a gateway that runs for months is bounded: functions, departed hosts, timers. */
class BoundedStateTest {

  /**
   * Functions that are invoked once, and hosts that are replaced continuously: heap use after the
   * second half of the run is that after the first.
   */
  @Test
  void memoryDoesNotGrowWithNamesAndHosts() {
    ScriptedFleet fleet = new ScriptedFleet(ScriptedFleet.deployment(true, true, 1), 2);
    long[] used = new long[2];
    for (int half = 0; half < 2; half++) {
      for (int i = 0; i < 60_000; i++) {
        long number = half * 60_000L + i;
        ScriptedFleet.ClientInvocation invocation =
            fleet.submit(ScriptedFleet.IDEMPOTENT, 1_000 + number, 500);
        if (!fleet.inFlight.isEmpty()) {
          fleet.endAttempt(fleet.inFlight.get(0), Outcome.OK);
        }
        assertTrue(invocation.answer != null || fleet.inFlight.isEmpty());
        if (i % 4 == 0) {
          fleet.updateHost(fleet.entry(10_000 + number, HostEntry.State.READY, 0));
          fleet.updateHost(fleet.entry(10_000 + number, HostEntry.State.GONE, 0));
          fleet.clearHistory(10_000 + number);
        }
        fleet.advance(2);
      }
      System.gc();
      used[half] = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
    assertTrue(
        used[1] < used[0] + (3 << 20), (used[0] >> 20) + " MB, then " + (used[1] >> 20) + " MB");
  }
}
