package flintlead.platform.downstream;

import flintlead.scheduling.api.InvocationSpec;
import flintlead.time.Span;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses the path and headers of an invocation request. Immutable. */
public final class InvocationRequestParser {

  private static final String PATH_PREFIX = "/call/";
  private static final String PATH_SUFFIX = "/fire";
  private static final double MAX_TTL_MILLIS = 600_000;
  private static final double MAX_WORK_MILLIS = 600_000;
  private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 64;

  private final Map<String, Integer> triggerTypes = new HashMap<>();
  private final Map<String, Integer> customers = new HashMap<>();
  private final List<Boolean> needsKey;

  /**
   * Creates a parser for one deployment.
   *
   * @param triggerTypes names of the trigger types, by index
   * @param needsKey for each trigger type, whether its invocations must have an idempotency key
   * @param customers names of the customers, by index; if empty, requests need not name one
   */
  public InvocationRequestParser(
      List<String> triggerTypes, List<Boolean> needsKey, List<String> customers) {
    this.needsKey = needsKey;
    for (int i = 0; i < triggerTypes.size(); i++) {
      this.triggerTypes.put(triggerTypes.get(i), i);
    }
    for (int i = 0; i < customers.size(); i++) {
      this.customers.put(customers.get(i), i);
    }
  }

  /**
   * Parses the complete request.
   *
   * @throws InvalidRequestException with the reason and the HTTP status of the response, if the
   *     request is invalid
   */
  InvocationHandler.Invocation parse(HttpRequest request) throws InvalidRequestException {
    InvocationHeaders headers = new InvocationHeaders(request.headers());
    String function = function(request.uri());
    InvocationSpec spec = spec(headers, InvocationHeaders.hexNumber(function, "the function"));
    String idText = headers.required("X-Txn");
    long id = InvocationHeaders.hexNumber(idText, "X-Txn");
    String key = idempotencyKey(headers, needsKey.get(spec.triggerType()));
    return new InvocationHandler.Invocation(id, idText, function, spec, key);
  }

  private static String function(String path) throws InvalidRequestException {
    int length = PATH_PREFIX.length() + InvocationHeaders.HEX_DIGITS + PATH_SUFFIX.length();
    if (!path.startsWith(PATH_PREFIX) || !path.endsWith(PATH_SUFFIX) || path.length() != length) {
      throw InvalidRequestException.notFound("the path is not /call/<function>/fire");
    }
    return path.substring(
        PATH_PREFIX.length(), PATH_PREFIX.length() + InvocationHeaders.HEX_DIGITS);
  }

  private InvocationSpec spec(InvocationHeaders headers, long function)
      throws InvalidRequestException {
    int triggerType = triggerType(headers);
    int customer = customer(headers);
    double ttl = headers.requiredNumber("X-Ttl-Ms", 1, MAX_TTL_MILLIS);
    String workText = headers.optional("X-Cpu-Hint");
    double work =
        workText == null ? 0 : InvocationHeaders.number(workText, "X-Cpu-Hint", 0, MAX_WORK_MILLIS);
    ResourceHints hints = ResourceHints.parse(headers.optional("X-More"));
    return new InvocationSpec(
        triggerType,
        customer,
        function,
        Span.ofMillis(ttl),
        Span.ofMillis(work),
        workText != null,
        hints.memoryMb(),
        hints.slotsPerInstance(),
        Span.ofMillis(hints.loadMillis()),
        false);
  }

  private int triggerType(InvocationHeaders headers) throws InvalidRequestException {
    Integer triggerType = triggerTypes.get(headers.required("X-Class"));
    if (triggerType == null) {
      throw InvalidRequestException.badRequest("X-Class names an unknown trigger type");
    }
    return triggerType;
  }

  /**
   * Returns the customer's index. A deployment without customers serves every client, as customer
   * 0.
   */
  private int customer(InvocationHeaders headers) throws InvalidRequestException {
    if (customers.isEmpty()) {
      return 0;
    }
    Integer customer = customers.get(headers.required("X-Merchant"));
    if (customer == null) {
      throw InvalidRequestException.badRequest("X-Merchant names an unknown customer");
    }
    return customer;
  }

  private static String idempotencyKey(InvocationHeaders headers, boolean needed)
      throws InvalidRequestException {
    String key = needed ? headers.required("X-Txn-Key") : headers.optional("X-Txn-Key");
    if (key != null && !isIdempotencyKey(key)) {
      throw InvalidRequestException.badRequest(
          "X-Txn-Key must be 1 to " + MAX_IDEMPOTENCY_KEY_LENGTH + " letters, digits, '-' or '_'");
    }
    return key;
  }

  /** Whether the key can be passed on to a host as part of a command line. */
  private static boolean isIdempotencyKey(String key) {
    for (int i = 0; i < key.length(); i++) {
      char c = key.charAt(i);
      boolean letter = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z';
      if (!letter && !(c >= '0' && c <= '9') && c != '-' && c != '_') {
        return false;
      }
    }
    return !key.isEmpty() && key.length() <= MAX_IDEMPOTENCY_KEY_LENGTH;
  }
}
