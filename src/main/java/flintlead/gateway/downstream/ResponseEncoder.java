package flintlead.gateway.downstream;

import flintlead.gateway.InvocationResponse;
import flintlead.transport.jsonrpc.MessageId;
import flintlead.transport.jsonrpc.MessageWriter;
import io.netty.buffer.ByteBuf;

/** Writes final responses in the clients' protocol; see docs/protocol.md. */
final class ResponseEncoder {

  /** The error code of a throttled invocation, and of a rejected connection. */
  static final int THROTTLED = -32001;

  /** The error code of an errored invocation. */
  static final int ERRORED = -32002;

  private ResponseEncoder() {}

  /** Writes the response under the request's id. */
  static MessageWriter encode(ByteBuf buffer, MessageId id, InvocationResponse response) {
    return switch (response.status()) {
      case SUCCEEDED ->
          MessageWriter.result(buffer, id)
              .putJson("payload", response.payload())
              .put("host", response.host())
              .put("dispatches", response.attempts());
      case THROTTLED ->
          MessageWriter.error(buffer, id, THROTTLED, "throttled: " + response.reason())
              .put("retryInMs", response.retryAfter().micros() / 1000)
              .put("dispatches", response.attempts());
      case ERRORED ->
          MessageWriter.error(buffer, id, ERRORED, "errored: " + response.reason())
              .put("mayHaveRun", response.mayHaveRun())
              .put("dispatches", response.attempts());
    };
  }
}
