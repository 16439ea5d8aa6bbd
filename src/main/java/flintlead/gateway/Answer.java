package flintlead.gateway;

import flintlead.time.Span;

/**
 * The final answer to an invocation.
 *
 * @param payload of one that succeeded: a JSON text; null where the host gave none
 * @param host the host that answered; null where none did
 * @param retryIn of one throttled: when another try is best made
 * @param mayHaveRun of one errored: whether any dispatch of it may have run
 * @param why of one that did not succeed, in words
 */
public record Answer(Kind kind, byte[] payload, String host, int dispatches, Span retryIn, boolean mayHaveRun,
                     String why) {

    /** How it ended. Throttled promises that another try is harmless; errored promises nothing. */
    public enum Kind { SUCCEEDED, THROTTLED, ERRORED }

    static Answer succeeded(byte[] payload, String host, int dispatches) {
        return new Answer(Kind.SUCCEEDED, payload, host, dispatches, Span.ZERO, true, null);
    }

    static Answer throttled(Span retryIn, int dispatches, String why) {
        return new Answer(Kind.THROTTLED, null, null, dispatches, retryIn, false, why);
    }

    static Answer errored(boolean mayHaveRun, int dispatches, String why) {
        return new Answer(Kind.ERRORED, null, null, dispatches, Span.ZERO, mayHaveRun, why);
    }

    @Override
    public String toString() {
        return kind + (why == null ? "" : " (" + why + ")");
    }
}
