package flintlead.platform.downstream;

import flintlead.transport.http.HttpCodec;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A connection over the connection limit. The first bytes that it sends are answered with status
 * 503 and a retry delay, and nothing more is read. Closing it without a response would lose a
 * request that is already in transit. Used on the event loop only.
 */
final class RefusedConnection implements StreamListener {

  private static final int UNAVAILABLE = 503;

  private final HttpFront front;
  private final Stream stream;
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
    ended = true;
    front.refusedConnectionEnded(this);
    long retryAfterMillis = front.handler().retryAfter().micros() / 1000;
    HttpCodec codec = new HttpCodec(0, new IgnoredRequests());
    stream.write(
        codec.encodeResponse(
            UNAVAILABLE,
            Unpooled.EMPTY_BUFFER,
            true,
            ClientConnection.RETRY_AFTER_MILLIS,
            retryAfterMillis));
    codec.release();
    stream.closeGracefully();
  }

  /** Closes the connection if its client has sent nothing. */
  void closeIfSilent() {
    if (!ended) {
      ended = true;
      front.refusedConnectionEnded(this);
      stream.close();
    }
  }

  @Override
  public void closed(String error) {
    ended = true;
    front.refusedConnectionEnded(this);
    front.streamClosed();
  }

  /** Request handler for a codec that is used for encoding only. */
  private static final class IgnoredRequests implements HttpCodec.RequestHandler {

    @Override
    public void request(HttpRequest head, ByteBuf body) {
      // Nothing is decoded.
    }

    @Override
    public void rejected(int status, String why) {
      // Nothing is decoded.
    }
  }
}
