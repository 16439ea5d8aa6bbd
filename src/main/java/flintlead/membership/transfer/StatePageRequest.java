package flintlead.membership.transfer;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * A request for the observations of one half of the functions behind a position in their order, so
 * that a transfer can go on with any other gateway from where it stopped. On the wire: version,
 * partition, request id, position; all big-endian.
 *
 * @param requestId the response has the same
 * @param partition which half of the functions: 0 or 1, the lowest bit of the function's number
 * @param afterFunction the function of the position; 0 with host 0 for the beginning
 * @param afterHost the host of the position
 */
public record StatePageRequest(long requestId, int partition, long afterFunction, long afterHost) {

  private static final byte VERSION = 1;
  private static final int BYTES = 2 + 3 * Long.BYTES;

  static StatePageRequest from(TransferPosition position, int partition, long requestId) {
    return new StatePageRequest(requestId, partition, position.function(), position.host());
  }

  /** The position behind which observations are asked for. */
  TransferPosition position() {
    return new TransferPosition(afterFunction, afterHost);
  }

  byte[] encode() {
    return ByteBuffer.allocate(BYTES)
        .put(VERSION)
        .put((byte) partition)
        .putLong(requestId)
        .putLong(afterFunction)
        .putLong(afterHost)
        .array();
  }

  /**
   * @throws IllegalArgumentException when it is no request of this version
   */
  static StatePageRequest decode(byte[] encoded) {
    try {
      ByteBuffer buffer = ByteBuffer.wrap(encoded);
      if (buffer.get() != VERSION) {
        throw new IllegalArgumentException("a request of another version");
      }
      int partition = buffer.get();
      if (partition < 0 || partition > 1) {
        throw new IllegalArgumentException("a request for partition " + partition);
      }
      return new StatePageRequest(buffer.getLong(), partition, buffer.getLong(), buffer.getLong());
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("a request that ends too soon", e);
    }
  }
}
