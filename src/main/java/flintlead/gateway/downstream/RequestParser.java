package flintlead.gateway.downstream;

import flintlead.gateway.InvocationRequest;
import flintlead.time.Span;
import flintlead.transport.jsonrpc.JsonMembers;
import flintlead.transport.jsonrpc.Message;
import flintlead.transport.jsonrpc.MessageId;
import flintlead.transport.jsonrpc.RpcException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

/** Reads the parameters of the clients' methods; see docs/protocol.md. */
final class RequestParser {

  private static final Set<String> INVOKE_MEMBERS =
      Set.of("function", "triggerType", "customer", "timeoutMs", "token", "payload", "repeat");
  private static final Set<String> CANCEL_MEMBERS = Set.of("id");
  private static final List<String> STRING_MEMBERS =
      List.of("function", "triggerType", "customer", "token");

  private RequestParser() {}

  /**
   * The request's parameters; empty if it has none.
   *
   * @throws RpcException if the message is no request, or its parameters are not given by name
   */
  static JsonMembers params(Message message) throws RpcException {
    if (message.isResponse()) {
      throw new RpcException(
          RpcException.INVALID_REQUEST, "nothing was asked of this client", message.id());
    }
    if (message.params() != null && !message.paramsByName()) {
      throw invalid(message.id(), "member 'params' must be an object");
    }
    return paramsOrNone(message);
  }

  /** The parameters as they are; empty if there are none. */
  static JsonMembers paramsOrNone(Message message) {
    return message.params() == null ? JsonMembers.NONE : message.params();
  }

  /**
   * The invocation that an "invoke" asks for.
   *
   * @param batchTimeout the timeout common to the batch; null outside of one
   */
  static InvocationRequest invocation(MessageId id, JsonMembers params, Span batchTimeout)
      throws RpcException {
    requireKnown(id, params, INVOKE_MEMBERS);
    for (String name : STRING_MEMBERS) {
      if (params.has(name) && params.string(name) == null) {
        throw invalid(id, "member '" + name + "' must be a string");
      }
    }
    if (params.has("timeoutMs") && !(params.number("timeoutMs") > 0)) {
      throw invalid(id, "member 'timeoutMs' must be a number above 0");
    }
    if (params.has("repeat") && !params.isBoolean("repeat")) {
      throw invalid(id, "member 'repeat' must be true or false");
    }
    return new InvocationRequest(
        params.string("function"),
        params.string("triggerType"),
        params.string("customer"),
        timeout(params, batchTimeout),
        params.string("token"),
        params.json("payload"),
        params.isTrue("repeat"));
  }

  private static Span timeout(JsonMembers params, Span batchTimeout) {
    if (batchTimeout != null) {
      return batchTimeout;
    }
    return params.has("timeoutMs") ? Span.ofMillis(params.number("timeoutMs")) : null;
  }

  /** The id of the invocation that a "cancel" is about. */
  static MessageId cancelledId(MessageId id, JsonMembers params) throws RpcException {
    requireKnown(id, params, CANCEL_MEMBERS);
    byte[] json = params.json("id");
    if (json == null) {
      throw invalid(id, "member 'id' must be that of an invocation");
    }
    return new MessageId(new String(json, StandardCharsets.UTF_8));
  }

  private static void requireKnown(MessageId id, JsonMembers params, Set<String> known)
      throws RpcException {
    for (String name : params.names()) {
      if (!known.contains(name)) {
        throw invalid(
            id,
            "member '"
                + name
                + "' is not known here; there are "
                + known.stream().sorted().toList());
      }
    }
  }

  private static RpcException invalid(MessageId id, String message) {
    return new RpcException(RpcException.INVALID_PARAMS, message, id);
  }
}
