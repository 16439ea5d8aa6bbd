package flintlead.platform.downstream;

/**
 * Thrown for a request that is not a valid invocation. Has no stack trace, because clients can
 * cause it at any rate.
 */
final class InvalidRequestException extends Exception {

  private static final long serialVersionUID = 1L;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;

  private final int status;

  private InvalidRequestException(int status, String reason) {
    super(reason, null, false, false);
    this.status = status;
  }

  /** A header is missing or malformed. */
  static InvalidRequestException badRequest(String reason) {
    return new InvalidRequestException(BAD_REQUEST, reason);
  }

  /** The path is not that of an invocation. */
  static InvalidRequestException notFound(String reason) {
    return new InvalidRequestException(NOT_FOUND, reason);
  }

  /** The HTTP status of the response. */
  int status() {
    return status;
  }
}
