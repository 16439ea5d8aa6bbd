package flintlead.client;

import flintlead.time.Span;
import flintlead.transport.jsonrpc.Message;

/**
 * What a client hears of one invocation.
 *
 * @param payload the JSON text of the result; null if there is none
 * @param host the host that answered; null if none did
 * @param attempts how many attempts the gateway started
 * @param retryAfter of one throttled: how long to wait before a retry
 * @param mayHaveRun whether the invocation may have run
 * @param code the JSON-RPC error code; 0 for one that succeeded
 * @param message the gateway's sentence for one that did not succeed; null for one that did
 */
public record ClientResponse(
    Status status,
    byte[] payload,
    String host,
    int attempts,
    Span retryAfter,
    boolean mayHaveRun,
    int code,
    String message) {

  private static final int THROTTLED_CODE = -32001;
  private static final int ERRORED_CODE = -32002;

  /** How it ended; LOST if the connection ended first, REFUSED if the invocation was invalid. */
  public enum Status {
    SUCCEEDED,
    THROTTLED,
    ERRORED,
    REFUSED,
    LOST
  }

  static ClientResponse lost(String reason) {
    return new ClientResponse(Status.LOST, null, null, 0, Span.ZERO, true, 0, reason);
  }

  /** Reads the gateway's response. */
  static ClientResponse of(Message message) {
    if (!message.isError()) {
      return new ClientResponse(
          Status.SUCCEEDED,
          message.result().json("payload"),
          message.result().string("host"),
          (int) message.result().number("dispatches", 0),
          Span.ZERO,
          true,
          0,
          null);
    }
    return new ClientResponse(
        errorStatus(message.errorCode()),
        null,
        null,
        (int) message.data().number("dispatches", 0),
        Span.ofMillis(message.data().number("retryInMs", 0)),
        message.data().isTrue("mayHaveRun"),
        message.errorCode(),
        message.errorMessage());
  }

  private static Status errorStatus(int code) {
    return switch (code) {
      case THROTTLED_CODE -> Status.THROTTLED;
      case ERRORED_CODE -> Status.ERRORED;
      default -> Status.REFUSED;
    };
  }
}
