package flintlead.transport.jsonrpc;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.util.JsonRecyclerPools;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Parses JSON-RPC 2.0 messages. The member {@code payload} is checked to be JSON and not parsed
 * further; other values are parsed one level deep. Thread-safe.
 */
public final class MessageReader {

  /** How deep brackets may be nested: enough for a payload, too few to exhaust a stack. */
  public static final int MAX_NESTING = 64;

  /** Messages in one batch. */
  public static final int MAX_BATCH = 256;

  private static final int MAX_ID_BYTES = 128;
  private static final int MAX_NUMBER_CHARACTERS = 1000;
  private static final int RECYCLED_BUFFERS = 8;

  private final JsonFactory factory =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(MAX_NESTING)
                  .maxStringLength(Integer.MAX_VALUE)
                  .maxNumberLength(MAX_NUMBER_CHARACTERS)
                  .build())
          .recyclerPool(JsonRecyclerPools.newBoundedPool(RECYCLED_BUFFERS))
          .build();

  // ---- lines and batches ----

  /**
   * The line's bytes, checked to be UTF-8; null for a line of white space only.
   *
   * @throws RpcException with a parse error for invalid UTF-8
   */
  public static byte[] validatedBytes(ByteBuf line) throws RpcException {
    byte[] bytes = ByteBufUtil.getBytes(line);
    if (!isAscii(bytes)) {
      try {
        StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes));
      } catch (CharacterCodingException e) {
        throw new RpcException(RpcException.PARSE_ERROR, "the line is not valid UTF-8", null);
      }
    }
    for (byte each : bytes) {
      if (!isWhiteSpace(each)) {
        return bytes;
      }
    }
    return null;
  }

  private static boolean isAscii(byte[] bytes) {
    int allBits = 0;
    for (byte each : bytes) {
      allBits |= each;
    }
    return allBits >= 0;
  }

  private static boolean isWhiteSpace(byte character) {
    return character == ' ' || character == '\t' || character == '\r';
  }

  /** Whether the text is a batch, that is an array, rather than a single message. */
  public static boolean isBatch(byte[] text) {
    int i = 0;
    while (i < text.length && isWhiteSpace(text[i])) {
      i++;
    }
    return i < text.length && text[i] == '[';
  }

  /**
   * The elements of a batch, each the JSON text of one message.
   *
   * @throws RpcException for a text that is no JSON, or an empty or too large batch
   */
  public List<byte[]> splitBatch(byte[] text) throws RpcException {
    try (JsonParser parser = factory.createParser(text)) {
      parser.nextToken();
      List<byte[]> elements = new ArrayList<>();
      while (parser.nextToken() != JsonToken.END_ARRAY) {
        int from = tokenStart(parser);
        skipValue(parser);
        if (elements.size() >= MAX_BATCH) {
          throw invalidRequest("a batch holds at most " + MAX_BATCH + " messages", null);
        }
        elements.add(Arrays.copyOfRange(text, from, tokenEnd(parser)));
      }
      requireEnd(parser);
      if (elements.isEmpty()) {
        throw invalidRequest("the batch is empty", null);
      }
      return elements;
    } catch (IOException e) {
      throw parseError(e);
    }
  }

  // ---- messages ----

  /** The members of a message as far as they were read. */
  private static final class Draft {
    MessageId id;
    String version;
    String method;
    boolean hasMethod;
    JsonMembers params;
    boolean paramsByName = true;
    JsonMembers result;
    JsonMembers error;
    byte[] data;

    void readMember(String name, JsonParser parser, JsonToken token, byte[] text)
        throws IOException, RpcException {
      switch (name) {
        case "jsonrpc" -> version = token == JsonToken.VALUE_STRING ? parser.getText() : null;
        case "id" -> id = readId(parser, text, token);
        case "method" -> {
          hasMethod = true;
          method = token == JsonToken.VALUE_STRING ? parser.getText() : null;
        }
        case "params" -> {
          paramsByName = token == JsonToken.START_OBJECT;
          params = readMembers(parser, text, "params");
        }
        case "result" -> result = readMembers(parser, text, "result");
        case "error" -> {
          error = readMembers(parser, text, "error");
          data = error.json("data");
        }
        default -> parser.skipChildren();
      }
    }

    void validate() throws RpcException {
      if (!"2.0".equals(version)) {
        throw invalidRequest("member 'jsonrpc' must be \"2.0\"", id);
      }
      if (hasMethod && method == null) {
        throw invalidRequest("member 'method' must be a string", id);
      }
      if (method == null && (id == null || result == null && error == null)) {
        throw invalidRequest("member 'method' is missing", id);
      }
    }
  }

  /**
   * Parses one message.
   *
   * @throws RpcException with the code of JSON-RPC 2.0, what is wrong, and the id as far as it was
   *     read
   */
  public Message read(byte[] text) throws RpcException {
    Draft draft = new Draft();
    try (JsonParser parser = factory.createParser(text)) {
      requireObject(parser);
      int members = 0;
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String name = parser.currentName();
        JsonToken token = parser.nextToken();
        if (++members > JsonMembers.MAX_MEMBERS) {
          throw invalidRequest("the message has too many members", draft.id);
        }
        draft.readMember(name, parser, token, text);
      }
      requireEnd(parser);
    } catch (IOException e) {
      throw parseError(e);
    } catch (RpcException e) {
      throw e.id() == MessageId.NULL && draft.id != null
          ? new RpcException(e.code(), e.getMessage(), draft.id)
          : e;
    }
    draft.validate();
    return toMessage(draft);
  }

  private Message toMessage(Draft draft) throws RpcException {
    if (draft.error == null) {
      return new Message(
          draft.id,
          draft.method,
          draft.params,
          draft.paramsByName,
          draft.result,
          0,
          null,
          JsonMembers.NONE);
    }
    int code = (int) draft.error.number("code", 0);
    JsonMembers data = draft.data == null ? JsonMembers.NONE : readObject(draft.data);
    return new Message(
        draft.id,
        draft.method,
        draft.params,
        draft.paramsByName,
        null,
        code,
        draft.error.string("message"),
        data);
  }

  private static void requireObject(JsonParser parser) throws IOException, RpcException {
    if (parser.nextToken() == JsonToken.START_OBJECT) {
      return;
    }
    if (parser.currentToken() == null) {
      throw new RpcException(RpcException.PARSE_ERROR, "the text is empty", null);
    }
    skipValue(parser);
    requireEnd(parser);
    throw invalidRequest("a message must be an object", null);
  }

  // ---- values ----

  /**
   * The members of a JSON object given alone; none of any other value.
   *
   * @throws RpcException for a text that is no JSON, or an object with repeated or too many members
   */
  public JsonMembers readObject(byte[] text) throws RpcException {
    try (JsonParser parser = factory.createParser(text)) {
      parser.nextToken();
      return readMembers(parser, text, "data");
    } catch (IOException e) {
      throw parseError(e);
    }
  }

  /**
   * Reads the value at the parser's position: the members of an object, none of any other value.
   */
  private static JsonMembers readMembers(JsonParser parser, byte[] text, String of)
      throws IOException, RpcException {
    JsonMembers members = new JsonMembers(text);
    if (parser.currentToken() != JsonToken.START_OBJECT) {
      skipValue(parser);
      return members;
    }
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      JsonToken token = parser.nextToken();
      int from = tokenStart(parser);
      String value = null;
      if (token.isScalarValue() && !name.equals("payload")) {
        value = parser.getText();
      } else {
        skipValue(parser);
      }
      if (!members.add(name, token, value, from, tokenEnd(parser))) {
        throw new RpcException(
            RpcException.INVALID_PARAMS,
            "member '" + name + "' of " + of + " stands twice or is one too many",
            null);
      }
    }
    return members;
  }

  private static MessageId readId(JsonParser parser, byte[] text, JsonToken token)
      throws IOException, RpcException {
    int from = tokenStart(parser);
    if (token != JsonToken.VALUE_STRING && !token.isNumeric() && token != JsonToken.VALUE_NULL) {
      throw invalidRequest("member 'id' must be a string, a number or null", null);
    }
    parser.finishToken();
    int length = tokenEnd(parser) - from;
    if (length > MAX_ID_BYTES) {
      throw invalidRequest(
          "member 'id' has " + length + " bytes, at most " + MAX_ID_BYTES + " are allowed", null);
    }
    return new MessageId(new String(text, from, length, StandardCharsets.UTF_8));
  }

  private static void skipValue(JsonParser parser) throws IOException {
    parser.skipChildren();
    parser.finishToken();
  }

  private static void requireEnd(JsonParser parser) throws IOException, RpcException {
    if (parser.nextToken() != null) {
      throw new RpcException(RpcException.PARSE_ERROR, "more than one JSON text on the line", null);
    }
  }

  private static int tokenStart(JsonParser parser) {
    return (int) parser.currentTokenLocation().getByteOffset();
  }

  private static int tokenEnd(JsonParser parser) {
    return (int) parser.currentLocation().getByteOffset();
  }

  private static RpcException invalidRequest(String message, MessageId id) {
    return new RpcException(RpcException.INVALID_REQUEST, message, id);
  }

  private static RpcException parseError(IOException e) {
    String message = e.getMessage();
    int lineEnd = message.indexOf('\n');
    String firstLine = lineEnd < 0 ? message : message.substring(0, lineEnd);
    return new RpcException(RpcException.PARSE_ERROR, "not JSON: " + firstLine, null);
  }
}
