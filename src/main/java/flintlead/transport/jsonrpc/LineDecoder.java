package flintlead.transport.jsonrpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * Splits a byte stream into lines that end in a line feed; a carriage return before it is dropped.
 * A line over the limit is reported once, skipped to its end and takes no memory beyond the limit;
 * what follows it is decoded as usual. Not thread-safe.
 */
public final class LineDecoder {

  /** Receives the lines. */
  public interface LineHandler {

    /** A line without its end; the buffer is the handler's only until this returns. */
    void line(ByteBuf line);

    /**
     * A line was over the limit and is skipped.
     *
     * @param maxBytes the limit
     */
    void lineTooLong(int maxBytes);
  }

  private final int maxLineBytes;
  private final LineHandler handler;

  /** Received and not decoded yet; null for nothing. */
  private ByteBuf buffered;

  /** Bytes of the current line that are known to hold no line feed. */
  private int scanned;

  private boolean skipping;
  private boolean paused;
  private boolean closed;
  private boolean decodingBuffered;

  /** A decoder for one stream. */
  public LineDecoder(int maxLineBytes, LineHandler handler) {
    this.maxLineBytes = maxLineBytes;
    this.handler = handler;
  }

  /**
   * Decodes the buffer to its end, or keeps a copy of what is left when paused; the buffer stays
   * the caller's.
   */
  public void feed(ByteBuf bytes, ByteBufAllocator alloc) {
    if (closed) {
      return;
    }
    if (buffered == null) {
      decode(bytes);
      if (bytes.isReadable() && !closed) {
        buffered = alloc.buffer(bytes.readableBytes()).writeBytes(bytes);
      }
    } else {
      buffered.writeBytes(bytes);
      decodeBuffered();
    }
  }

  /** Stops after the current line; the rest is buffered. */
  public void pause() {
    paused = true;
  }

  /** Continues with what was buffered. */
  public void resume() {
    paused = false;
    if (buffered != null) {
      decodeBuffered();
    }
  }

  private void decodeBuffered() {
    decodingBuffered = true;
    decode(buffered);
    decodingBuffered = false;
    if (closed || !buffered.isReadable()) {
      buffered.release();
      buffered = null;
    } else {
      buffered.discardSomeReadBytes();
    }
  }

  private void decode(ByteBuf bytes) {
    while (!paused && !closed) {
      int from = bytes.readerIndex();
      int lineFeed = bytes.indexOf(from + scanned, bytes.writerIndex(), (byte) '\n');
      if (lineFeed < 0) {
        scanIncompleteLine(bytes);
        return;
      }
      scanned = 0;
      completeLine(bytes, from, lineFeed);
    }
  }

  private void scanIncompleteLine(ByteBuf bytes) {
    scanned = bytes.readableBytes();
    if (!skipping && scanned > maxLineBytes) {
      skipping = true;
      handler.lineTooLong(maxLineBytes);
    }
    if (skipping) {
      bytes.skipBytes(scanned);
      scanned = 0;
    }
  }

  private void completeLine(ByteBuf bytes, int from, int lineFeed) {
    int length = lineFeed - from;
    if (skipping) {
      skipping = false;
      bytes.skipBytes(length + 1);
    } else if (length > maxLineBytes) {
      bytes.skipBytes(length + 1);
      handler.lineTooLong(maxLineBytes);
    } else {
      boolean endsInCarriageReturn = length > 0 && bytes.getByte(lineFeed - 1) == '\r';
      ByteBuf line = bytes.slice(from, endsInCarriageReturn ? length - 1 : length);
      bytes.skipBytes(length + 1);
      handler.line(line);
    }
  }

  /** Bytes buffered of a line that has not ended, or of lines that a pause holds back. */
  public int bufferedBytes() {
    return buffered == null ? 0 : buffered.readableBytes();
  }

  /**
   * Bytes that the buffer of a line that has not ended occupies; 0 while paused, as the buffer then
   * holds whole lines.
   */
  public int partialLineBytes() {
    return buffered == null || paused ? 0 : buffered.capacity();
  }

  /** Releases what has been received of a line that has not ended, and skips the rest of it. */
  public void skipPartialLine() {
    if (buffered != null && !paused && !decodingBuffered) {
      buffered.release();
      buffered = null;
      scanned = 0;
      skipping = true;
    }
  }

  /** Releases the buffer; nothing more is decoded. May be called by the handler too. */
  public void close() {
    closed = true;
    if (buffered != null && !decodingBuffered) {
      buffered.release();
      buffered = null;
    }
  }
}
