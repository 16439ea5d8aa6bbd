package flintlead.gateway;

import flintlead.time.Span;

/**
 * One invocation as its client requests it.
 *
 * @param customer null if none is named
 * @param timeout the client timeout; null for the trigger type's
 * @param token the idempotency token by which hosts know a repeat; null if the client gives none
 * @param payload a JSON text without line feeds; null for none
 * @param clientRetry whether the client has sent it before
 */
public record InvocationRequest(
    String function,
    String triggerType,
    String customer,
    Span timeout,
    String token,
    byte[] payload,
    boolean clientRetry) {

  /** A first try without customer, token, payload, and with the trigger type's timeout. */
  public static InvocationRequest of(String function, String triggerType) {
    return new InvocationRequest(function, triggerType, null, null, null, null, false);
  }

  /** The same request for a customer. */
  public InvocationRequest customer(String name) {
    return new InvocationRequest(function, triggerType, name, timeout, token, payload, clientRetry);
  }

  /** The same request with a client timeout. */
  public InvocationRequest timeout(Span duration) {
    return new InvocationRequest(
        function, triggerType, customer, duration, token, payload, clientRetry);
  }

  /** The same request with an idempotency token. */
  public InvocationRequest token(String value) {
    return new InvocationRequest(
        function, triggerType, customer, timeout, value, payload, clientRetry);
  }

  /** The same request with a JSON text for the function. */
  public InvocationRequest payload(byte[] json) {
    return new InvocationRequest(
        function, triggerType, customer, timeout, token, json, clientRetry);
  }

  /** The payload's size, by which admission control counts. */
  long bytes() {
    return payload == null ? 0 : payload.length;
  }
}
