package flintlead.benchlink;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;

/** Buffer for the records of one reply; it grows as actions are encoded. */
final class Reply {

  private static final int HEADER_BYTES = 12;

  private ByteBuffer bytes = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
  private int records;

  void begin() {
    bytes.clear();
    bytes.position(HEADER_BYTES);
    records = 0;
  }

  /**
   * Starts a record of at most {@code size} bytes; the caller puts its fields into the returned
   * buffer.
   */
  ByteBuffer record(int code, int instance, int size) {
    if (bytes.remaining() < size) {
      byte[] larger =
          Arrays.copyOf(bytes.array(), Math.max(bytes.capacity() * 2, bytes.position() + size));
      bytes = ByteBuffer.wrap(larger).order(ByteOrder.LITTLE_ENDIAN).position(bytes.position());
    }
    records++;
    return bytes.put((byte) code).putShort((short) instance);
  }

  /**
   * Completes the header; the reply is then the first {@link #length()} bytes of {@link #array()}.
   */
  void end(int sequence) {
    bytes.putInt(0, records).putInt(4, bytes.position() - HEADER_BYTES).putInt(8, sequence);
  }

  byte[] array() {
    return bytes.array();
  }

  int length() {
    return bytes.position();
  }
}
