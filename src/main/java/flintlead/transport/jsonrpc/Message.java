package flintlead.transport.jsonrpc;

/**
 * One JSON-RPC message. A request has a method and an id, a notification a method only, a response
 * an id and a result or an error.
 *
 * @param id null where the member is absent
 * @param method null for a response
 * @param params of a request or notification; null where they are absent
 * @param paramsByName false when params were given as an array
 * @param result the members of a result that is an object; null where there is no result
 * @param errorCode of an error response; else 0
 * @param errorMessage of an error response; else null
 * @param data the members of an error's data; empty where there are none
 */
public record Message(
    MessageId id,
    String method,
    JsonMembers params,
    boolean paramsByName,
    JsonMembers result,
    int errorCode,
    String errorMessage,
    JsonMembers data) {

  /** Whether it is a response, successful or not. */
  public boolean isResponse() {
    return method == null;
  }

  /** Whether it is an error response. */
  public boolean isError() {
    return method == null && result == null;
  }

  /** Whether it is a notification, which is not answered. */
  public boolean isNotification() {
    return method != null && id == null;
  }
}
