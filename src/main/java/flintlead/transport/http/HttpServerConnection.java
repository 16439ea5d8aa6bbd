package flintlead.transport.http;

import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One server connection: complete requests in, complete or chunked responses out. On its event loop
 * only.
 */
public final class HttpServerConnection implements StreamListener {

  private static final int MAX_REQUEST_BYTES = 1 << 20;

  /** Receives the requests of a connection. */
  public interface Handler {

    /**
     * A complete request; it is answered by {@code respond}, or by {@code beginChunked} and what
     * follows it.
     */
    void request(HttpServerConnection connection, String method, String uri, String body);

    /** The connection is closed. */
    void disconnected(HttpServerConnection connection);
  }

  private final EmbeddedChannel codec =
      new EmbeddedChannel(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES));
  private final Stream stream;
  private final Handler handler;
  private boolean closed;

  /** Serves an accepted stream, whose listener this has to be. */
  public HttpServerConnection(Stream stream, Handler handler) {
    this.stream = stream;
    this.handler = handler;
  }

  @Override
  public void received(ByteBuf bytes) {
    if (closed) {
      return;
    }
    codec.writeInbound(bytes.retainedDuplicate());
    flushCodec();
    for (FullHttpRequest request = codec.readInbound();
        request != null && !closed;
        request = codec.readInbound()) {
      String body = request.content().toString(StandardCharsets.UTF_8);
      request.release();
      handler.request(this, request.method().name(), request.uri(), body);
    }
  }

  private void write(Object message) {
    if (!closed) {
      codec.writeOutbound(message);
      flushCodec();
    }
  }

  private void flushCodec() {
    for (ByteBuf out = codec.readOutbound(); out != null; out = codec.readOutbound()) {
      stream.write(out);
    }
  }

  /** Sends a complete response with a JSON body. */
  public void respond(int status, Map<String, String> headers, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(bytes));
    setHeaders(response.headers(), headers).set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    write(response);
  }

  /**
   * Begins a chunked response with status 200; {@link #writeChunk} and {@link #endChunked} follow.
   */
  public void beginChunked(Map<String, String> headers) {
    DefaultHttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    setHeaders(response.headers(), headers)
        .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    write(response);
  }

  private static HttpHeaders setHeaders(HttpHeaders target, Map<String, String> headers) {
    headers.forEach(target::set);
    return target.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
  }

  /** Sends one chunk of a chunked response. */
  public void writeChunk(String text) {
    write(new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
  }

  /** Ends a chunked response. */
  public void endChunked() {
    write(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Closes the connection at once, without what is unsent. */
  public void abort() {
    stream.abort();
    closed("closed here");
  }

  @Override
  public void closed(String why) {
    if (!closed) {
      closed = true;
      codec.finishAndReleaseAll();
      handler.disconnected(this);
    }
  }
}
