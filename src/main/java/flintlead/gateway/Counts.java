package flintlead.gateway;

import flintlead.port.Outcome;
import java.util.Map;

/**
 * What a gateway has counted since it began, at one moment.
 *
 * @param turnedAway throttled without being taken
 * @param left whose client left before the answer
 * @param keptBack second answers that the ledger kept back, and those it had to give: both are faults
 * @param open taken and not answered yet
 * @param flights taken and not over: answered ones whose dispatches are still out among them
 */
public record Counts(long taken, long succeeded, long throttled, long errored, long turnedAway, long left,
                     long keptBack, long overdue, long dispatches, long orders, int open, int flights,
                     Map<Outcome, Long> outcomes) {
}
