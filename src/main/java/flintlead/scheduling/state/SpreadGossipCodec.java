package flintlead.scheduling.state;

import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.function.BiConsumer;

/**
 * Encodes and decodes the message in which gateways exchange the replica targets of functions: a
 * version byte, then six bytes for each function (the lowest 40 bits of its id, then the replica
 * target in thirds of a host).
 */
public final class SpreadGossipCodec {

  private static final int MAX_FUNCTIONS = 40;
  private static final byte VERSION = 1;
  private static final double UNITS_PER_HOST = 3;
  private static final int BYTE_MASK = 0xff;
  private static final long INT_MASK = 0xffffffffL;
  private static final int ENTRY_BYTES = Integer.BYTES + 2;

  private SpreadGossipCodec() {}

  /** Encodes the functions in iteration order, as many as fit into one message. */
  public static byte[] encode(Collection<FunctionState> functions) {
    int count = Math.min(MAX_FUNCTIONS, functions.size());
    ByteBuffer message = ByteBuffer.allocate(1 + ENTRY_BYTES * count).put(VERSION);
    functions.stream().limit(count).forEach(function -> encode(message, function));
    return message.array();
  }

  private static void encode(ByteBuffer message, FunctionState function) {
    message
        .putInt((int) function.id)
        .put((byte) (function.id >> Integer.SIZE))
        .put((byte) Math.min(UNITS_PER_HOST * function.replicaTarget, BYTE_MASK));
  }

  /**
   * Decodes a message; a message of another version or of invalid length is ignored.
   *
   * @param consumer called with each function's id and replica target
   */
  public static void decode(byte[] bytes, BiConsumer<Long, Double> consumer) {
    ByteBuffer message = ByteBuffer.wrap(bytes);
    if (bytes.length == 0 || message.get() != VERSION || message.remaining() % ENTRY_BYTES != 0) {
      return;
    }
    while (message.hasRemaining()) {
      long low = message.getInt() & INT_MASK;
      long function = low | (long) (message.get() & BYTE_MASK) << Integer.SIZE;
      consumer.accept(function, (message.get() & BYTE_MASK) / UNITS_PER_HOST);
    }
  }
}
