package flintlead.transport.http;

import flintlead.transport.loop.Address;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.loop.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.Function;

/**
 * One HTTP request on a connection of its own, whose response is handed over as it arrives. On its
 * event loop only.
 */
public final class HttpClientRequest implements StreamListener {

  /**
   * Receives the response. Exactly one of {@code end} and {@code failed} is called, as the last
   * call.
   */
  public interface ResponseHandler {

    /**
     * The status line and the headers have arrived.
     *
     * @param header gives a header's value by its name; null where it is absent
     */
    void head(int status, Function<String, String> header);

    /** A part of the body; the buffer is the handler's only until this returns. */
    void body(ByteBuf part);

    /** The response is complete. */
    void end();

    /**
     * The connection failed or the response was not HTTP.
     *
     * @param why for logs and error messages
     */
    void responseFailed(String why);
  }

  private final EmbeddedChannel codec = new EmbeddedChannel(new HttpClientCodec());
  private final ResponseHandler response;
  private final DefaultFullHttpRequest request;
  private Stream stream;
  private boolean finished;

  private HttpClientRequest(ResponseHandler response, DefaultFullHttpRequest request) {
    this.response = response;
    this.request = request;
  }

  /**
   * Connects and sends the request.
   *
   * @param body JSON text; null for a request without a body
   */
  public static HttpClientRequest send(
      Transport transport,
      Address to,
      String method,
      String path,
      byte[] body,
      ResponseHandler response) {
    HttpClientRequest client = new HttpClientRequest(response, encode(method, path, body));
    client.stream = transport.connect(to, client);
    return client;
  }

  private static DefaultFullHttpRequest encode(String method, String path, byte[] body) {
    ByteBuf content = body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body);
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path, content);
    request
        .headers()
        .set(HttpHeaderNames.HOST, "registry")
        .set(HttpHeaderNames.CONNECTION, "close");
    if (body != null) {
      request
          .headers()
          .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
          .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    }
    return request;
  }

  /** Abandons the request; the handler is not called any more. */
  public void cancel() {
    if (!finished) {
      finished = true;
      stream.abort();
      codec.finishAndReleaseAll();
    }
  }

  @Override
  public void opened() {
    if (!finished) {
      codec.writeOutbound(request);
      for (ByteBuf out = codec.readOutbound(); out != null; out = codec.readOutbound()) {
        stream.write(out);
      }
    }
  }

  @Override
  public void received(ByteBuf bytes) {
    if (finished) {
      return;
    }
    try {
      codec.writeInbound(bytes.retainedDuplicate());
    } catch (RuntimeException e) {
      fail("not HTTP: " + e.getMessage());
      return;
    }
    for (Object part = codec.readInbound(); part != null && !finished; part = codec.readInbound()) {
      partReceived(part);
    }
  }

  private void partReceived(Object part) {
    if (part instanceof HttpResponse head) {
      if (head.decoderResult().isFailure()) {
        fail("not HTTP: " + head.decoderResult().cause().getMessage());
        return;
      }
      response.head(head.status().code(), name -> head.headers().get(name));
    }
    if (part instanceof HttpContent content) {
      try {
        if (!finished && content.content().isReadable()) {
          response.body(content.content());
        }
      } finally {
        content.release();
      }
      if (part instanceof LastHttpContent && !finished) {
        finished = true;
        stream.close();
        response.end();
        codec.finishAndReleaseAll();
      }
    }
  }

  @Override
  public void closed(String why) {
    fail(why);
  }

  private void fail(String why) {
    if (!finished) {
      finished = true;
      stream.abort();
      codec.finishAndReleaseAll();
      response.responseFailed(why);
    }
  }
}
