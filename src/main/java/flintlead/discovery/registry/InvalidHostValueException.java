package flintlead.discovery.registry;

/** A key's value that does not describe a host; the message gives the reason in one line. */
final class InvalidHostValueException extends Exception {

  private static final long serialVersionUID = 1;

  InvalidHostValueException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
