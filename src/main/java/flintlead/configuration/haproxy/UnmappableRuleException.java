package flintlead.configuration.haproxy;

/** A rule of the source that no route can express; the message gives the reason. */
final class UnmappableRuleException extends Exception {

  private static final long serialVersionUID = 1;

  UnmappableRuleException(String reason) {
    super(reason);
  }
}
