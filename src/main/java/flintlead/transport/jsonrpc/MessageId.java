package flintlead.transport.jsonrpc;

import java.nio.charset.StandardCharsets;

/**
 * The id of a JSON-RPC message. Ids are compared by their JSON text: {@code 7}, {@code "7"} and
 * {@code null} all differ.
 *
 * @param json the JSON text as it was received
 */
public record MessageId(String json) {

  /** The id of a response to a message whose own id could not be read. */
  public static final MessageId NULL = new MessageId("null");

  /** Longer numbers might not fit a long. */
  private static final int MAX_DIGITS = 18;

  /** An id that is a whole number. */
  public static MessageId of(long number) {
    return new MessageId(Long.toString(number));
  }

  /** The id as a whole number of 0 or more; -1 where it is no such number. */
  public long asNumber() {
    if (json.isEmpty() || json.length() > MAX_DIGITS) {
      return -1;
    }
    long number = 0;
    for (int i = 0; i < json.length(); i++) {
      int digit = json.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        return -1;
      }
      number = number * 10 + digit;
    }
    return number;
  }

  byte[] bytes() {
    return json.getBytes(StandardCharsets.UTF_8);
  }
}
