package flintlead.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Requests are decoded the same however their bytes are split; what is no request ends decoding,
 * within limits.
 */
class RequestDecoderTest {

  private static final int MAX_BODY_BYTES = 1_000;
  private final List<String> decoded = new ArrayList<>();

  private RequestDecoder newDecoder() {
    decoded.clear();
    return new RequestDecoder(
        MAX_BODY_BYTES,
        new RequestDecoder.RequestHandler() {
          @Override
          public void request(HttpRequest head, ByteBuf body) {
            decoded.add(head.uri() + " " + body.toString(StandardCharsets.ISO_8859_1));
          }

          @Override
          public void rejected(int status, String why) {
            decoded.add("rejected " + status);
          }
        });
  }

  private static void feed(RequestDecoder decoder, String text) {
    decoder.feed(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  @Property(tries = 200, seed = "4716")
  void requestsDoNotDependOnHowTheyWereSplit(
      @ForAll @Size(max = 6) List<@IntRange(max = 1000) Integer> lengths, @ForAll long seed) {
    StringBuilder text = new StringBuilder();
    List<String> expected = new ArrayList<>();
    for (int length : lengths) {
      String body = "GET / \r\n\r\n".repeat(length).substring(0, length);
      text.append("POST /")
          .append(length)
          .append(" HTTP/1.1\r\nContent-Length: ")
          .append(length)
          .append("\r\n\r\n")
          .append(body);
      expected.add("/" + length + " " + body);
    }
    RequestDecoder decoder = newDecoder();
    Random random = new Random(seed);
    for (int from = 0; from < text.length(); ) {
      int to = Math.min(text.length(), from + 1 + random.nextInt(300));
      feed(decoder, text.substring(from, to));
      from = to;
    }
    assertEquals(expected, decoded);
    assertFalse(decoder.hasPartialRequest());
    decoder.release();
  }

  @Property(tries = 300, seed = "4717")
  void endlessBytesEndInOneRejection(@ForAll byte[] bytes) {
    RequestDecoder decoder = newDecoder();
    decoder.feed(Unpooled.wrappedBuffer(bytes));
    feed(decoder, "x".repeat(20_000));
    assertEquals(1, decoded.stream().filter(each -> each.startsWith("rejected")).count());
    decoder.release();
  }

  @ParameterizedTest
  @CsvSource({
    "Content-Length: 5|Content-Length: 6, 400",
    "Content-Length: 5|Transfer-Encoding: chunked, 400",
    "Transfer-Encoding: chunked|Content-Length: 5, 400",
    "Content-Length: -5, 400",
    "Content-Length: +5, 400",
    "Content-Length: 99999999999999999999, 400",
    "Content-Length: 3000000000, 413",
    "Content-Length: 1001, 413",
    "Transfer-Encoding: gzip, 400",
    "Transfer-Encoding: gzip|Transfer-Encoding: chunked, 501",
    "no colon, 400"
  })
  void aBodyOfAmbiguousLengthIsRejectedUnread(String headers, int status) {
    RequestDecoder decoder = newDecoder();
    feed(decoder, "POST /a HTTP/1.1\r\n" + headers.replace("|", "\r\n") + "\r\n\r\nhello");
    assertEquals(List.of("rejected " + status), decoded);
    decoder.release();
  }

  @Test
  void aChunkedBodyIsAcceptedUpToTheLimit() {
    RequestDecoder decoder = newDecoder();
    feed(decoder, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    assertEquals(List.of("/a abc"), decoded);
    feed(
        decoder,
        "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n" + "x".repeat(0x400));
    assertEquals(List.of("/a abc", "rejected 413"), decoded);
    decoder.release();
  }

  @Test
  void anEndlessHeadIsRejected() {
    RequestDecoder decoder = newDecoder();
    feed(decoder, "GET /a HTTP/1.1\r\n");
    assertTrue(decoder.hasPartialRequest());
    for (int i = 0; i < 2_000 && decoded.isEmpty(); i++) {
      feed(decoder, "X-A: b\r\n");
    }
    assertEquals(List.of("rejected 431"), decoded);
    decoder.release();
  }

  /** A field takes many times its size on the wire, so the bytes alone do not bound a head. */
  @Test
  void fieldsAreLimitedInNumberInHeadAndTrailer() {
    RequestDecoder head = newDecoder();
    feed(head, "POST /a HTTP/1.1\r\n" + "a:b\r\n".repeat(102));
    assertEquals(List.of("rejected 431"), decoded);
    head.release();
    RequestDecoder trailer = newDecoder();
    feed(trailer, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
    feed(trailer, "a:b\r\n".repeat(102));
    assertEquals(List.of("rejected 431"), decoded);
    trailer.release();
  }

  @Test
  void aPartialRequestCountsUntilItIsCompleteOrReleased() {
    RequestDecoder decoder = newDecoder();
    assertEquals(0, decoder.heldBytes());
    feed(decoder, "POST /a HTTP/1.1\r\nContent-Length: 900\r\n" + "a:b\r\n".repeat(50));
    assertTrue(decoder.heldBytes() > 50 * 144, "fields: " + decoder.heldBytes());
    feed(decoder, "\r\n" + "x".repeat(800));
    assertTrue(decoder.heldBytes() > 50 * 144 + 800, "and body: " + decoder.heldBytes());
    feed(decoder, "x".repeat(100));
    assertEquals(0, decoder.heldBytes());
    feed(decoder, "POST /b HTTP/1.1\r\n");
    assertTrue(decoder.heldBytes() > 0);
    decoder.release();
    assertEquals(0, decoder.heldBytes());
  }
}
