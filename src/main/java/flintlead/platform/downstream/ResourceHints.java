package flintlead.platform.downstream;

/**
 * Resources needed by an instance of the function, from the {@code X-More} header ({@code
 * name:value;name:value}). Values that the header omits are zero.
 *
 * @param memoryMb memory of one instance, in MB
 * @param slotsPerInstance invocations that one instance runs concurrently
 * @param loadMillis how long an instance takes to load
 */
record ResourceHints(double memoryMb, double slotsPerInstance, double loadMillis) {

  private static final ResourceHints NONE = new ResourceHints(0, 0, 0);
  private static final int MAX_HEADER_LENGTH = 512;
  private static final double MAX_MEMORY_MB = 1 << 22;
  private static final double MAX_SLOTS = 1_024;
  private static final double MAX_LOAD_MILLIS = 600_000;

  /**
   * Parses the header's value. Unknown names are ignored, but their values must be numbers too.
   *
   * @param header the header's value; null if the header is absent
   * @throws InvalidRequestException if the value is malformed
   */
  static ResourceHints parse(String header) throws InvalidRequestException {
    if (header == null || header.isEmpty()) {
      return NONE;
    }
    if (header.length() > MAX_HEADER_LENGTH) {
      throw InvalidRequestException.badRequest("X-More is too long");
    }
    double memory = 0;
    double slots = 0;
    double load = 0;
    for (String hint : header.split(";")) {
      int colon = hint.indexOf(':');
      if (colon < 1) {
        throw InvalidRequestException.badRequest("X-More must be name:value;name:value");
      }
      String value = hint.substring(colon + 1);
      switch (hint.substring(0, colon)) {
        case "memory_mb" -> memory = InvocationHeaders.number(value, "memory_mb", 0, MAX_MEMORY_MB);
        case "lanes" -> slots = InvocationHeaders.number(value, "lanes", 0, MAX_SLOTS);
        case "load_ms" -> load = InvocationHeaders.number(value, "load_ms", 0, MAX_LOAD_MILLIS);
        default -> InvocationHeaders.number(value, "X-More", -Double.MAX_VALUE, Double.MAX_VALUE);
      }
    }
    return new ResourceHints(memory, slots, load);
  }
}
