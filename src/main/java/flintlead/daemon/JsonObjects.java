package flintlead.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;

/** Builds and encodes JSON objects whose keys keep their order. */
final class JsonObjects {

  private static final ObjectMapper JSON = new ObjectMapper();

  private JsonObjects() {}

  /** Returns the value as JSON in UTF-8. */
  static byte[] encode(Object answer) {
    try {
      return JSON.writeValueAsBytes(answer);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns an object with names and values by turns, in their order. */
  static Map<String, Object> object(Object... namesAndValues) {
    Map<String, Object> object = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      object.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return object;
  }
}
