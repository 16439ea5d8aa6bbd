package flintlead.change;

/**
 * What is counted of a gateway since it began.
 *
 * @param succeeded invocations answered well
 * @param failed invocations answered otherwise: throttled and errored
 * @param lives whether any ready host of the list has answered anything lately
 */
public record Reading(long succeeded, long failed, boolean lives) {

    /** Shares of failure before and since are compared as of two samples. */
    static boolean isWorse(Reading begin, Reading change, Reading now, Caution caution) {
        double before = change.succeeded + change.failed - begin.succeeded - begin.failed;
        double after = now.succeeded + now.failed - change.succeeded - change.failed;
        if (after < caution.least()) {
            return false;
        }
        double failedAfter = (now.failed - change.failed) / after;
        // With nothing to compare with, a failure in twenty is taken for usual.
        double failedBefore = before < caution.least() ? USUAL_FAILURE : (change.failed - begin.failed) / before;
        double weight = Math.max(before, caution.least());
        double pooled = (failedAfter * after + failedBefore * weight) / (after + weight);
        double error = Math.sqrt(Math.max(1e-9, pooled * (1 - pooled) * (1 / after + 1 / weight)));
        return failedAfter - failedBefore - caution.worse() > caution.certainty() * error;
    }

    private static final double USUAL_FAILURE = 0.05;
}
