package flintlead.platform.journal;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads JSON into maps, lists, strings and numbers. Uses no data binding, which would load many
 * classes. Thread-safe.
 */
public final class JsonReader {

  private static final int MAX_DEPTH = 32;

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
      Object value = value(in, 0);
      if (in.nextToken() != null) {
        throw new IllegalArgumentException("extra content after the JSON value");
      }
      return value;
    } catch (IOException e) {
      throw new IllegalArgumentException("malformed JSON: " + e.getMessage(), e);
    }
  }

  private Object value(JsonParser in, int depth) throws IOException {
    JsonToken token = in.currentToken();
    if (token == null || depth > MAX_DEPTH) {
      throw new IllegalArgumentException(
          token == null ? "empty JSON input" : "JSON nested too deeply");
    }
    return switch (token) {
      case START_OBJECT -> object(in, depth);
      case START_ARRAY -> array(in, depth);
      case VALUE_STRING -> in.getText();
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> in.getNumberValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      case VALUE_NULL -> null;
      default -> throw new IllegalArgumentException("unexpected JSON token: " + token);
    };
  }

  private Map<String, Object> object(JsonParser in, int depth) throws IOException {
    Map<String, Object> members = new LinkedHashMap<>();
    while (in.nextToken() != JsonToken.END_OBJECT) {
      String name = in.currentName();
      in.nextToken();
      members.put(name, value(in, depth + 1));
    }
    return members;
  }

  private List<Object> array(JsonParser in, int depth) throws IOException {
    List<Object> elements = new ArrayList<>();
    while (in.nextToken() != JsonToken.END_ARRAY) {
      elements.add(value(in, depth + 1));
    }
    return elements;
  }
}
