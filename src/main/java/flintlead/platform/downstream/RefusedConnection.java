package flintlead.platform.downstream;

import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A connection over the connection limit. The first bytes that it sends are answered with status
 * 503 and a retry delay, and nothing more is read. Closing it without a response would lose a
 * request that is already in transit. Used on the event loop only.
 */
final class RefusedConnection implements StreamListener {

  private static final int UNAVAILABLE = 503;

  private final HttpFront front;
  private final Stream stream;
  private Runnable cancelTimeout = () -> {};
  private boolean ended;

  RefusedConnection(HttpFront front, Stream stream) {
    this.front = front;
    this.stream = stream;
  }

  @Override
  public void received(ByteBuf bytes) {
    if (ended) {
      return;
    }
    end();
    long retryAfterMillis = front.handler().retryAfter().micros() / 1000;
    stream.write(
        front
            .responseWriter()
            .encode(
                UNAVAILABLE,
                Unpooled.EMPTY_BUFFER,
                true,
                ClientConnection.RETRY_AFTER_MILLIS,
                retryAfterMillis));
    stream.closeGracefully();
  }

  /** Sets what cancels the timeout of the connection, which otherwise keeps it in memory. */
  void setCancelTimeout(Runnable cancel) {
    cancelTimeout = cancel;
  }

  private void end() {
    ended = true;
    cancelTimeout.run();
    front.refusedConnectionEnded(this);
  }

  /** Closes the connection if its client has sent nothing. */
  void closeIfSilent() {
    if (!ended) {
      end();
      stream.close();
    }
  }

  @Override
  public void closed(String error) {
    end();
    front.streamClosed();
  }
}
