package flintlead.gateway;

import flintlead.time.Span;

/**
 * The final response to an invocation.
 *
 * @param payload of one that succeeded: a JSON text; null if the host gave none
 * @param host the host that answered; null if none did
 * @param attempts how many attempts were started
 * @param retryAfter of one throttled: how long the client had best wait before a retry
 * @param mayHaveRun of one errored: whether any attempt may have run
 * @param reason a sentence for one that did not succeed; null for one that did
 */
public record InvocationResponse(
    Status status,
    byte[] payload,
    String host,
    int attempts,
    Span retryAfter,
    boolean mayHaveRun,
    String reason) {

  /** How it ended. Throttled promises that a retry is harmless; errored promises nothing. */
  public enum Status {
    SUCCEEDED,
    THROTTLED,
    ERRORED
  }

  static InvocationResponse succeeded(byte[] payload, String host, int attempts) {
    return new InvocationResponse(Status.SUCCEEDED, payload, host, attempts, Span.ZERO, true, null);
  }

  static InvocationResponse throttled(Span retryAfter, int attempts, String reason) {
    return new InvocationResponse(
        Status.THROTTLED, null, null, attempts, retryAfter, false, reason);
  }

  static InvocationResponse errored(boolean mayHaveRun, int attempts, String reason) {
    return new InvocationResponse(
        Status.ERRORED, null, null, attempts, Span.ZERO, mayHaveRun, reason);
  }

  @Override
  public String toString() {
    return status + (reason == null ? "" : " (" + reason + ")");
  }
}
