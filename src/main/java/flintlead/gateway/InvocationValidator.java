package flintlead.gateway;

import flintlead.ids.FunctionNames;
import flintlead.time.Span;

/** Checks what a client asks for against the configuration. */
final class InvocationValidator {

  /** An invocation without a customer; no rate limit applies to it. */
  private static final int NO_CUSTOMER = Integer.MAX_VALUE;

  private static final int MAX_NAME_LENGTH = 256;
  private static final Span MAX_TIMEOUT = Span.ofMillis(600_000);

  /**
   * The numbers by which the scheduler knows what a request names.
   *
   * @param triggerType index into the configuration's trigger types
   * @param customer index into its customers, or {@link Integer#MAX_VALUE} for none
   * @param function the function's number
   */
  record Resolved(int triggerType, int customer, long function) {}

  private final GatewayConfig config;
  private final FunctionNames functions;

  InvocationValidator(GatewayConfig config, FunctionNames functions) {
    this.config = config;
    this.functions = functions;
  }

  /**
   * Checks the request; remembers the function's name.
   *
   * @throws InvalidInvocationException naming the member that is wrong
   */
  Resolved resolve(InvocationRequest request) throws InvalidInvocationException {
    requireName("function", request.function());
    int triggerType = triggerType(request.triggerType());
    int customer = customer(request.customer());
    if (request.token() != null) {
      requireName("token", request.token());
    }
    requireTimeout(request.timeout());
    return new Resolved(triggerType, customer, function(request.function()));
  }

  private static void requireName(String member, String value) throws InvalidInvocationException {
    if (value == null || value.isEmpty() || value.length() > MAX_NAME_LENGTH) {
      throw new InvalidInvocationException(
          "member '" + member + "' must be a string of 1 to " + MAX_NAME_LENGTH + " characters");
    }
  }

  private int triggerType(String name) throws InvalidInvocationException {
    int index = name == null ? -1 : config.triggerType(name);
    if (index < 0) {
      throw new InvalidInvocationException(
          "member 'triggerType' must be one of "
              + config.triggerTypes().stream().map(GatewayConfig.Trigger::name).toList());
    }
    return index;
  }

  private int customer(String name) throws InvalidInvocationException {
    if (name == null) {
      return NO_CUSTOMER;
    }
    int index = config.customer(name);
    if (index < 0) {
      throw new InvalidInvocationException("member 'customer' names no customer known here");
    }
    return index;
  }

  private static void requireTimeout(Span timeout) throws InvalidInvocationException {
    if (timeout != null && (timeout.micros() < 1 || timeout.isLongerThan(MAX_TIMEOUT))) {
      throw new InvalidInvocationException(
          "member 'timeoutMs' must be above 0 and at most " + MAX_TIMEOUT.micros() / 1000);
    }
  }

  private long function(String name) throws InvalidInvocationException {
    try {
      return functions.remember(name);
    } catch (IllegalArgumentException e) {
      throw new InvalidInvocationException("member 'function': " + e.getMessage());
    }
  }
}
