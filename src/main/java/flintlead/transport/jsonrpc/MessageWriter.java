package flintlead.transport.jsonrpc;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Writes one JSON-RPC message as a line, member by member. Values given as bytes are JSON texts
 * already and are copied as they are: they were cut from received lines, or validated where they
 * were accepted, and hold no line feed.
 */
public final class MessageWriter {

  private static final byte[] REQUEST = ascii("{\"jsonrpc\":\"2.0\",\"id\":");
  private static final byte[] METHOD = ascii(",\"method\":");
  private static final byte[] NOTIFICATION = ascii("{\"jsonrpc\":\"2.0\",\"method\":");
  private static final byte[] PARAMS = ascii(",\"params\":{");
  private static final byte[] RESULT = ascii(",\"result\":{");
  private static final byte[] ERROR = ascii(",\"error\":{\"code\":");
  private static final byte[] MESSAGE = ascii(",\"message\":");
  private static final byte[] DATA = ascii(",\"data\":{");
  private static final byte[] NULL = ascii("null");

  private final ByteBuf out;

  /** Objects that are open and have to be closed at the end. */
  private final int openObjects;

  private boolean first = true;

  private MessageWriter(ByteBuf out, int openObjects) {
    this.out = out;
    this.openObjects = openObjects;
  }

  /** Begins a request; the members written next are those of its params. */
  public static MessageWriter request(ByteBuf out, long id, String method) {
    out.writeBytes(REQUEST);
    writeNumber(out, id);
    out.writeBytes(METHOD);
    writeString(out, method);
    out.writeBytes(PARAMS);
    return new MessageWriter(out, 2);
  }

  /** Begins a notification; the members written next are those of its params. */
  public static MessageWriter notification(ByteBuf out, String method) {
    out.writeBytes(NOTIFICATION);
    writeString(out, method);
    out.writeBytes(PARAMS);
    return new MessageWriter(out, 2);
  }

  /** Begins a successful response; the members written next are those of its result. */
  public static MessageWriter result(ByteBuf out, MessageId id) {
    out.writeBytes(REQUEST).writeBytes(id.bytes()).writeBytes(RESULT);
    return new MessageWriter(out, 2);
  }

  /** Begins an error response; the members written next are those of its data. */
  public static MessageWriter error(ByteBuf out, MessageId id, int code, String message) {
    out.writeBytes(REQUEST).writeBytes(id.bytes()).writeBytes(ERROR);
    writeNumber(out, code);
    out.writeBytes(MESSAGE);
    writeString(out, message);
    out.writeBytes(DATA);
    return new MessageWriter(out, 3);
  }

  private void beginMember(String name) {
    if (!first) {
      out.writeByte(',');
    }
    first = false;
    writeString(out, name);
    out.writeByte(':');
  }

  /** Writes a string member. */
  public MessageWriter put(String name, String value) {
    beginMember(name);
    writeString(out, value);
    return this;
  }

  /** Writes a member with a whole number. */
  public MessageWriter put(String name, long value) {
    beginMember(name);
    writeNumber(out, value);
    return this;
  }

  /**
   * Writes a member with a number; null in place of an infinite one or of NaN, which JSON lacks.
   */
  public MessageWriter put(String name, double value) {
    beginMember(name);
    out.writeCharSequence(
        Double.isFinite(value) ? Double.toString(value) : "null", StandardCharsets.US_ASCII);
    return this;
  }

  /** Writes a boolean member. */
  public MessageWriter put(String name, boolean value) {
    beginMember(name);
    out.writeCharSequence(value ? "true" : "false", StandardCharsets.US_ASCII);
    return this;
  }

  /**
   * Writes a member whose value is a JSON text.
   *
   * @param json copied unchecked; null is written as JSON's null
   */
  public MessageWriter putJson(String name, byte[] json) {
    beginMember(name);
    out.writeBytes(json == null ? NULL : json);
    return this;
  }

  /** Writes a member whose value is a message's id. */
  public MessageWriter putId(String name, MessageId id) {
    return putJson(name, id.bytes());
  }

  /** Ends the message without the line feed, as an element of a batch, and returns the buffer. */
  public ByteBuf finishBatchElement() {
    for (int i = 0; i < openObjects; i++) {
      out.writeByte('}');
    }
    return out;
  }

  /** Ends the message and its line, and returns the buffer. */
  public ByteBuf finishLine() {
    return finishBatchElement().writeByte('\n');
  }

  private static void writeString(ByteBuf out, String text) {
    out.writeByte('"').writeBytes(JsonStringEncoder.getInstance().quoteAsUTF8(text)).writeByte('"');
  }

  private static void writeNumber(ByteBuf out, long value) {
    out.writeCharSequence(Long.toString(value), StandardCharsets.US_ASCII);
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
