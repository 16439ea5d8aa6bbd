package flintlead.gateway.downstream;

import flintlead.gateway.ClientView;
import flintlead.gateway.InvalidInvocationException;
import flintlead.gateway.InvocationHandler;
import flintlead.gateway.InvocationRequest;
import flintlead.gateway.InvocationResponse;
import flintlead.routing.admission.AdmissionController;
import flintlead.transport.jsonrpc.MessageId;
import flintlead.transport.jsonrpc.RpcException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** The invocations of one connection that have no response yet, by the client's ids. */
final class ClientInvocations {

  /** One invocation; without a number until the gateway has accepted it. */
  private static final class Pending {
    private static final long NO_NUMBER = -1;
    private long number = NO_NUMBER;

    boolean isAccepted() {
      return number != NO_NUMBER;
    }
  }

  private final InvocationHandler gateway;
  private final AdmissionController.Source source;
  private final ClientView client;
  private final Consumer<Boolean> busyListener;
  private final Map<MessageId, Pending> pending = new HashMap<>();

  /** Makes none; the listener hears true when one begins, false when the last one has ended. */
  ClientInvocations(
      InvocationHandler gateway,
      AdmissionController.Source source,
      ClientView client,
      Consumer<Boolean> busyListener) {
    this.gateway = gateway;
    this.source = source;
    this.client = client;
    this.busyListener = busyListener;
  }

  /**
   * Submits an invocation under the client's id.
   *
   * @param reply hears the response, perhaps within this call
   * @throws RpcException if the id is in use or the invocation is invalid
   */
  void submit(
      MessageId id, InvocationRequest request, BiConsumer<MessageId, InvocationResponse> reply)
      throws RpcException {
    if (pending.containsKey(id)) {
      // Under that id the response would be taken for the response to the first.
      throw new RpcException(
          RpcException.INVALID_REQUEST,
          "an invocation with id " + id.json() + " is in the gateway already",
          MessageId.NULL);
    }
    Pending invocation = new Pending();
    pending.put(id, invocation);
    busyListener.accept(true);
    try {
      invocation.number =
          gateway.submit(
              request,
              source,
              client,
              response -> {
                end(id, invocation);
                reply.accept(id, response);
              });
    } catch (InvalidInvocationException e) {
      end(id, invocation);
      throw new RpcException(RpcException.INVALID_PARAMS, e.getMessage(), id);
    }
  }

  private void end(MessageId id, Pending invocation) {
    pending.remove(id, invocation);
    if (pending.isEmpty()) {
      busyListener.accept(false);
    }
  }

  /** Cancels an invocation; returns false if there is none of that id without a response. */
  boolean cancel(MessageId id) {
    Pending invocation = pending.get(id);
    return invocation != null && gateway.cancel(invocation.number);
  }

  /** The client has left: nothing of what is open is awaited any more. */
  void abandonAll() {
    List<Pending> open = new ArrayList<>(pending.values());
    pending.clear();
    for (Pending invocation : open) {
      if (invocation.isAccepted()) {
        gateway.clientDisconnected(invocation.number);
      }
    }
  }
}
