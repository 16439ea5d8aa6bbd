package flintlead.transport.http;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Header fields of one message that is being decoded. Their number is limited, because each field
 * takes many times its size on the wire. Not thread-safe.
 */
final class BoundedHeaders extends DefaultHttpHeaders {

  static final int MAX_FIELDS = 100;

  /** Heap of one field: its entry, and the objects of its name and value without their text. */
  private static final int FIELD_OVERHEAD_BYTES = 144;

  private int heapBytes;

  /** Heap that the fields occupy, approximately. */
  int heapBytes() {
    return heapBytes;
  }

  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    if (size() >= MAX_FIELDS) {
      throw new TooLongFrameException("more than " + MAX_FIELDS + " header fields");
    }
    heapBytes += FIELD_OVERHEAD_BYTES + name.length() + ((CharSequence) value).length();
    return super.add(name, value);
  }
}
