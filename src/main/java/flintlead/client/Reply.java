package flintlead.client;

import flintlead.time.Span;

/**
 * What a client hears of one invocation.
 *
 * @param payload the JSON text of the answer; null where there is none
 * @param code the JSON-RPC error code; 0 for one that succeeded
 */
public record Reply(Kind kind, byte[] payload, String host, int dispatches, Span retryIn, boolean mayHaveRun, int code,
                    String message) {

    /** How it ended; LOST when the connection ended first, REFUSED when the invocation was not well-formed. */
    public enum Kind { SUCCEEDED, THROTTLED, ERRORED, REFUSED, LOST }

    static Reply lost(String why) {
        return new Reply(Kind.LOST, null, null, 0, Span.ZERO, true, 0, why);
    }
}
