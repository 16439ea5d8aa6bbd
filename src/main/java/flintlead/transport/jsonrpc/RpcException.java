package flintlead.transport.jsonrpc;

/**
 * A message that can't be accepted, with the error that is returned to its sender. Has no stack
 * trace.
 */
public final class RpcException extends Exception {

  private static final long serialVersionUID = 1;

  /** Not JSON. The codes are those of JSON-RPC 2.0, section 5.1. */
  public static final int PARSE_ERROR = -32700;

  /** JSON, but no request. */
  public static final int INVALID_REQUEST = -32600;

  /** No such method. */
  public static final int METHOD_NOT_FOUND = -32601;

  /** The method's params are not as they should be. */
  public static final int INVALID_PARAMS = -32602;

  /** An error of the receiver itself. */
  public static final int INTERNAL_ERROR = -32603;

  private final int code;
  private final transient MessageId id;

  /**
   * An error to be returned to the sender.
   *
   * @param id of the message; null where it could not be read
   */
  public RpcException(int code, String message, MessageId id) {
    super(message, null, false, false);
    this.code = code;
    this.id = id;
  }

  /** The error code. */
  public int code() {
    return code;
  }

  /** The id of the message; {@link MessageId#NULL} where it could not be read. */
  public MessageId id() {
    return id == null ? MessageId.NULL : id;
  }
}
