package flintlead.benchlink;

/**
 * Thrown if the input does not follow the wire protocol. The message names the batch, the record,
 * its offset and the problem, as far as they are known.
 */
public final class MalformedFrameException extends Exception {

  private static final long serialVersionUID = 1L;

  MalformedFrameException(String message) {
    super(message);
  }
}
