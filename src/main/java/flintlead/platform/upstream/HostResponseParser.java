package flintlead.platform.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Parses the bytes from a host into responses. A response is a line {@code TAG STATUS FIELDS
 * LENGTH}, CR LF, a body of LENGTH bytes, and CR LF. Malformed input ends the parser: after a wrong
 * length the parser cannot tell where the next response begins, and might take part of a body for
 * the response to another request.
 */
public final class HostResponseParser {

  private static final int MAX_LINE_BYTES = 1_024;
  private static final int MAX_TAG_LENGTH = 64;
  private static final int MAX_LENGTH_DIGITS = 7;
  private static final int LINE_PARTS = 4;
  private static final int MIN_BUFFER_BYTES = 256;

  /** Receives the parsed responses. */
  public interface Listener {

    /** A complete response was parsed. The body is valid only until this method returns. */
    void response(String tag, String status, ResponseFields fields, ByteBuf body);

    /** The input is malformed; no more of it is parsed. */
    void malformed(String reason);
  }

  /** The first line of a response. */
  private record FirstLine(String tag, String status, String fields, int bodyLength) {}

  private final int maxBodyBytes;
  private final Listener listener;

  /** Bytes of an incomplete response. */
  private ByteBuf partial = Unpooled.EMPTY_BUFFER;

  private boolean ended;

  /** The first line of a response whose body is incomplete; null if there is no such response. */
  private FirstLine firstLine;

  /**
   * Creates a parser that expects the beginning of a response.
   *
   * @param maxBodyBytes maximum bytes of a body
   */
  public HostResponseParser(int maxBodyBytes, Listener listener) {
    this.maxBodyBytes = maxBodyBytes;
    this.listener = listener;
  }

  /** Parses the bytes. The caller keeps ownership of the buffer. */
  public void feed(ByteBuf bytes) {
    if (ended) {
      return;
    }
    ByteBuf input = bytes;
    if (partial.isReadable()) {
      partial.writeBytes(bytes);
      input = partial;
    }
    boolean parsed = true;
    while (parsed && !ended) {
      parsed = parseResponse(input);
    }
    if (ended || !input.isReadable()) {
      partial = Unpooled.EMPTY_BUFFER;
    } else if (input == partial) {
      partial.discardReadBytes();
    } else {
      partial =
          Unpooled.buffer(Math.max(MIN_BUFFER_BYTES, input.readableBytes())).writeBytes(input);
    }
  }

  /** Whether an incomplete response has been received. */
  public boolean hasPartialResponse() {
    return !ended && (firstLine != null || partial.isReadable());
  }

  /** Bytes that an incomplete response occupies. */
  public int heldBytes() {
    return partial.capacity();
  }

  /** Stops parsing and releases an incomplete response; further input is ignored. */
  public void end() {
    ended = true;
    partial = Unpooled.EMPTY_BUFFER;
  }

  /** Parses one response; returns false if it is incomplete or malformed. */
  private boolean parseResponse(ByteBuf in) {
    if (firstLine == null && !parseLine(in) || in.readableBytes() < firstLine.bodyLength + 2) {
      return false;
    }
    int end = in.readerIndex() + firstLine.bodyLength;
    if (in.getByte(end) != '\r' || in.getByte(end + 1) != '\n') {
      return fail("response body is not followed by CR LF");
    }
    ByteBuf body = in.slice(in.readerIndex(), firstLine.bodyLength);
    FirstLine response = firstLine;
    firstLine = null;
    in.readerIndex(end + 2);
    listener.response(response.tag, response.status, new ResponseFields(response.fields), body);
    return true;
  }

  private boolean parseLine(ByteBuf in) {
    int start = in.readerIndex();
    int end = in.indexOf(start, Math.min(in.writerIndex(), start + MAX_LINE_BYTES), (byte) '\n');
    if (end < 0) {
      return in.readableBytes() < MAX_LINE_BYTES
          ? false
          : fail("first line of a response exceeds " + MAX_LINE_BYTES + " bytes");
    }
    if (end == start || in.getByte(end - 1) != '\r') {
      return fail("first line of a response ends in LF without CR");
    }
    firstLine = parseFirstLine(in.toString(start, end - 1 - start, StandardCharsets.ISO_8859_1));
    if (firstLine == null) {
      return fail("first line of a response is not TAG STATUS FIELDS LENGTH, or exceeds a limit");
    }
    in.readerIndex(end + 1);
    return true;
  }

  /** Parses the first line of a response; returns null if it is malformed. */
  private FirstLine parseFirstLine(String line) {
    String[] parts = line.split(" ", LINE_PARTS + 1);
    if (parts.length != LINE_PARTS
        || !isTag(parts[0])
        || !isTag(parts[1])
        || !isPrintable(parts[2])
        || !isLength(parts[3])) {
      return null;
    }
    int length = Integer.parseInt(parts[3]);
    return length <= maxBodyBytes ? new FirstLine(parts[0], parts[1], parts[2], length) : null;
  }

  private static boolean isTag(String word) {
    for (int i = 0; i < word.length(); i++) {
      char c = word.charAt(i);
      if (!(isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_')) {
        return false;
      }
    }
    return !word.isEmpty() && word.length() <= MAX_TAG_LENGTH;
  }

  private static boolean isPrintable(String word) {
    for (int i = 0; i < word.length(); i++) {
      if (word.charAt(i) <= ' ' || word.charAt(i) >= 127) {
        return false;
      }
    }
    return !word.isEmpty();
  }

  private static boolean isLength(String word) {
    for (int i = 0; i < word.length(); i++) {
      if (!isDigit(word.charAt(i))) {
        return false;
      }
    }
    return !word.isEmpty() && word.length() <= MAX_LENGTH_DIGITS;
  }

  private static boolean isDigit(char c) {
    return c >= '0' && c <= '9';
  }

  private boolean fail(String reason) {
    end();
    listener.malformed(reason);
    return false;
  }
}
