package flintlead.gateway;

/** An invocation was not accepted because it is invalid; the message names the member. */
public final class InvalidInvocationException extends Exception {

  private static final long serialVersionUID = 1;

  /** Has no stack trace: a client can cause it at will. */
  InvalidInvocationException(String message) {
    super(message, null, false, false);
  }
}
