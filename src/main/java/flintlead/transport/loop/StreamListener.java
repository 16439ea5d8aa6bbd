package flintlead.transport.loop;

import io.netty.buffer.ByteBuf;

/** Receives the events of one stream, on its event loop. */
public interface StreamListener {

  /** The connection is established; bytes may be written from now on. */
  default void opened() {}

  /** Bytes were received; the buffer is the listener's only until this returns. */
  void received(ByteBuf bytes);

  /** All written bytes have been handed to the kernel, after a time when some had not. */
  default void flushed() {}

  /**
   * The stream has ended or could not be opened; no further call follows.
   *
   * @param why for logs and error messages
   */
  void closed(String why);
}
