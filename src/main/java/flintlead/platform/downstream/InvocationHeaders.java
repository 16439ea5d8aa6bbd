package flintlead.platform.downstream;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Reads single values and numbers from a request's headers. */
final class InvocationHeaders {

  /** Number of hex digits of an id or a function. */
  static final int HEX_DIGITS = 16;

  private static final int MAX_NUMBER_LENGTH = 20;

  private final HttpHeaders headers;

  InvocationHeaders(HttpHeaders headers) {
    this.headers = headers;
  }

  /**
   * Returns the header's value, or null if the header is absent.
   *
   * @throws InvalidRequestException if the header is repeated with different values, which would
   *     describe two invocations
   */
  String optional(String name) throws InvalidRequestException {
    List<String> values = headers.getAll(name);
    if (values.isEmpty()) {
      return null;
    }
    for (String value : values) {
      if (!value.equals(values.get(0))) {
        throw InvalidRequestException.badRequest(name + " is repeated with different values");
      }
    }
    return values.get(0);
  }

  /**
   * Returns the header's value.
   *
   * @throws InvalidRequestException if the header is missing or repeated with different values
   */
  String required(String name) throws InvalidRequestException {
    String value = optional(name);
    if (value == null) {
      throw InvalidRequestException.badRequest(name + " is missing");
    }
    return value;
  }

  /**
   * Returns the header's value as a number.
   *
   * @throws InvalidRequestException if the value is missing, not a number or out of range
   */
  double requiredNumber(String name, double min, double max) throws InvalidRequestException {
    return number(required(name), name, min, max);
  }

  /**
   * Parses 16 hex digits.
   *
   * @param name name of the parsed value, for the error message
   * @throws InvalidRequestException if the text is anything else
   */
  static long hexNumber(String text, String name) throws InvalidRequestException {
    if (!isHex(text)) {
      throw InvalidRequestException.badRequest(name + " must be 16 hex digits");
    }
    return Long.parseUnsignedLong(text, 16);
  }

  /**
   * Whether the text is 16 ASCII hex digits; {@link Long#parseUnsignedLong} alone would also accept
   * a sign and digits of other scripts.
   */
  private static boolean isHex(String text) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c >= 128 || Character.digit(c, 16) < 0) {
        return false;
      }
    }
    return text.length() == HEX_DIGITS;
  }

  /**
   * Parses a decimal number.
   *
   * @param name name of the parsed value, for the error message
   * @throws InvalidRequestException if the text is not a number or out of range
   */
  static double number(String text, String name, double min, double max)
      throws InvalidRequestException {
    try {
      if (isDecimal(text)) {
        double value = Double.parseDouble(text);
        if (value >= min && value <= max) {
          return value;
        }
      }
    } catch (NumberFormatException e) {
      throw InvalidRequestException.badRequest(name + " is not a number");
    }
    throw InvalidRequestException.badRequest(name + " must be a number from " + min + " to " + max);
  }

  /**
   * Whether the text has only characters of a decimal number; {@link Double#parseDouble} alone
   * would also accept NaN, infinities and hexadecimal numbers.
   */
  private static boolean isDecimal(String text) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (!(c >= '0' && c <= '9') && ".eE-+".indexOf(c) < 0) {
        return false;
      }
    }
    return !text.isEmpty() && text.length() <= MAX_NUMBER_LENGTH;
  }
}
