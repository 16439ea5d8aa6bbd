package flintlead.transport.loop;

import flintlead.time.Moment;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/** One connection that carries bytes in both directions; used from its event loop only. */
public interface Stream {

  /**
   * Takes ownership of the buffer and sends it by the end of the event; released unsent once the
   * stream is closed.
   */
  void write(ByteBuf bytes);

  /**
   * Hands what was written to the kernel now instead of by the end of the event, so that nothing
   * comes between a check and its effect.
   */
  default void flush() {}

  /**
   * The latest time at which the stream is known to have been open with nothing unread. Its end, or
   * more bytes, may have come since, also where neither was delivered yet.
   */
  Moment quietAt();

  /**
   * The earliest time at which the bytes that are delivered now may have arrived: they can have
   * waited while the process stood still. The present where it did not.
   */
  Moment earliestArrival();

  /** Whether something to read was found that is left unread. */
  default boolean hasUnread() {
    return false;
  }

  /** Bytes that were written and not yet handed to the kernel. */
  long pendingBytes();

  /**
   * Switches reading on or off; while it is off the sender is held back once the buffers between
   * are full.
   */
  void setAutoRead(boolean enabled);

  /**
   * Closes after what was written has been handed to the kernel; the listener's {@code closed} is
   * called once.
   */
  void close();

  /**
   * Ends this side after what was written has left, and discards what is received until the peer
   * ends its side or a short time has passed. A peer that is still writing can read what was
   * written to it: to close at once over unread bytes would reset the connection under them.
   */
  default void closeGracefully() {
    close();
  }

  /** Closes at once and discards what is unsent. */
  void abort();

  /** The allocator for buffers that are written to this stream. */
  ByteBufAllocator alloc();
}
