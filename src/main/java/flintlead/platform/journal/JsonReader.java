package flintlead.platform.journal;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads JSON into maps, lists, strings and numbers. Uses no data binding, which would load many
 * classes. Thread-safe.
 */
public final class JsonReader {

  private static final int MAX_DEPTH = 32;

  /** Shorter strings that repeat, such as the states of hosts, are kept once in a value. */
  private static final int MAX_SHARED_LENGTH = 16;

  private static final int MAX_SHARED_STRINGS = 64;

  private final JsonFactory factory = new JsonFactory();

  /**
   * Reads one value: a map, list, string, number, boolean or null.
   *
   * @throws IllegalArgumentException if the input is malformed; the message of a syntax error names
   *     its position
   */
  public Object read(byte[] bytes) {
    try (JsonParser in = factory.createParser(bytes)) {
      in.nextToken();
      Object value = new ValueReader(in).value(0);
      if (in.nextToken() != null) {
        throw new IllegalArgumentException("extra content after the JSON value");
      }
      return value;
    } catch (IOException e) {
      throw new IllegalArgumentException("malformed JSON: " + e.getMessage(), e);
    }
  }

  /** Reads one value in a form that takes little memory: a list can have thousands of hosts. */
  private static final class ValueReader {
    private final JsonParser in;
    private final Map<String, String> shared = new HashMap<>();

    ValueReader(JsonParser in) {
      this.in = in;
    }

    Object value(int depth) throws IOException {
      JsonToken token = in.currentToken();
      if (token == null || depth > MAX_DEPTH) {
        throw new IllegalArgumentException(
            token == null ? "empty JSON input" : "JSON nested too deeply");
      }
      return switch (token) {
        case START_OBJECT -> object(depth);
        case START_ARRAY -> array(depth);
        case VALUE_STRING -> shared(in.getText());
        case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> in.getNumberValue();
        case VALUE_TRUE -> true;
        case VALUE_FALSE -> false;
        case VALUE_NULL -> null;
        default -> throw new IllegalArgumentException("unexpected JSON token: " + token);
      };
    }

    private String shared(String text) {
      if (text.length() > MAX_SHARED_LENGTH) {
        return text;
      }
      String first = shared.get(text);
      if (first == null && shared.size() < MAX_SHARED_STRINGS) {
        shared.put(text, text);
      }
      return first == null ? text : first;
    }

    private Map<String, Object> object(int depth) throws IOException {
      Map<String, Object> members = new LinkedHashMap<>();
      while (in.nextToken() != JsonToken.END_OBJECT) {
        String name = in.currentName();
        in.nextToken();
        members.put(name, value(depth + 1));
      }
      boolean compact = !members.containsValue(null) && holdsNoContainer(members);
      return compact ? Map.copyOf(members) : members;
    }

    /** Whether this is an object such as a host; the order of the others' members is kept. */
    private static boolean holdsNoContainer(Map<String, Object> members) {
      return members.values().stream()
          .noneMatch(value -> value instanceof Map<?, ?> || value instanceof List<?>);
    }

    private List<Object> array(int depth) throws IOException {
      List<Object> elements = new ArrayList<>();
      while (in.nextToken() != JsonToken.END_ARRAY) {
        elements.add(value(depth + 1));
      }
      return elements;
    }
  }
}
