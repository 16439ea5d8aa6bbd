package flintlead.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Encodes complete responses. It keeps nothing between responses, so all connections of an event
 * loop share one. Not thread-safe.
 */
public final class ResponseWriter {

  private static final int TYPICAL_HEAD_BYTES = 128;

  private final EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseEncoder());

  /**
   * Encodes a response; the content is copied.
   *
   * @param close whether the connection is closed after it
   * @param header name of an additional header with a whole number; null for none
   * @param value of that header
   */
  public ByteBuf encode(int status, ByteBuf content, boolean close, String header, long value) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content.retainedDuplicate());
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    if (header != null) {
      response.headers().set(header, value);
    }
    HttpUtil.setKeepAlive(response, !close);
    channel.writeOutbound(response);
    ByteBuf out = Unpooled.buffer(TYPICAL_HEAD_BYTES + content.readableBytes());
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      out.writeBytes(part);
      part.release();
    }
    return out;
  }
}
