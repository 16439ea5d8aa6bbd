package flintlead.platform.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Responses are parsed the same however their bytes are split. Malformed input ends the parser, and
 * a line without an end is rejected before it uses much memory.
 */
class HostResponseParserTest {

  private static final int MAX_BODY_BYTES = 2_000;
  private final List<String> parsed = new ArrayList<>();

  private HostResponseParser newParser() {
    parsed.clear();
    return new HostResponseParser(
        MAX_BODY_BYTES,
        new HostResponseParser.Listener() {
          @Override
          public void response(String id, String word, ResponseFields fields, ByteBuf body) {
            parsed.add(
                id
                    + " "
                    + word
                    + " "
                    + fields.get("tell")
                    + " "
                    + body.toString(StandardCharsets.ISO_8859_1));
          }

          @Override
          public void malformed(String reason) {
            parsed.add("malformed");
          }
        });
  }

  private static void feed(HostResponseParser parser, String text) {
    parser.feed(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  @Property(tries = 300, seed = "4714")
  void responsesDoNotDependOnHowTheBytesWereSplit(
      @ForAll @Size(max = 12) List<@IntRange(max = 300) Integer> lengths, @ForAll long seed) {
    StringBuilder text = new StringBuilder();
    List<String> expected = new ArrayList<>();
    for (int length : lengths) {
      String body = "\r\n 9".repeat(length).substring(0, length);
      text.append("id")
          .append(length)
          .append(" 200 tell=hot ")
          .append(length)
          .append("\r\n")
          .append(body)
          .append("\r\n");
      expected.add("id" + length + " 200 hot " + body);
    }
    HostResponseParser parser = newParser();
    Random random = new Random(seed);
    for (int from = 0; from < text.length(); ) {
      int to = Math.min(text.length(), from + 1 + random.nextInt(200));
      feed(parser, text.substring(from, to));
      from = to;
    }
    assertEquals(expected, parsed);
    assertTrue(!parser.hasPartialResponse());
  }

  @Property(tries = 500, seed = "4715")
  void arbitraryBytesAreReportedAsMalformedExactlyOnce(@ForAll byte[] bytes) {
    HostResponseParser parser = newParser();
    parser.feed(Unpooled.wrappedBuffer(bytes));
    feed(parser, "x".repeat(2_000));
    assertEquals(
        1,
        parsed.stream().filter("malformed"::equals).count(),
        "a line without an end is malformed after 1 KiB at the latest");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "a 200 - 3\r\nabcd\r\n",
        "a 200 - -1\r\n",
        "a 200 - 3000000000\r\n",
        "a 200 - 2001\r\n",
        "a 200 - x\r\n",
        "a 200 3\r\n",
        "a 200 - 3\nabc\r\n",
        "a\u0001 200 - 3\r\nabc\r\n",
        "\r\n",
        "a 200 - 3 4\r\n",
        "a  200 - 3\r\n"
      })
  void malformedInputStopsTheParser(String text) {
    HostResponseParser parser = newParser();
    feed(parser, text);
    feed(parser, "b 200 - 1\r\nx\r\n");
    assertEquals(
        List.of("malformed"), parsed, "parsing stops: what follows cannot be told from a body");
  }

  @Test
  void fieldsAreFoundByName() {
    ResponseFields fields = new ResponseFields("tell=broken,meter=inflight:7;waiting:3.5,units=2");
    assertEquals("broken", fields.get("tell"));
    assertEquals(3.5f, fields.loadReportValue("waiting"));
    assertTrue(Float.isNaN(fields.loadReportValue("util")));
    assertEquals(2, fields.getInt("units", 0));
    assertEquals(9, fields.getInt("tell", 9));
    assertNull(ResponseFields.NONE.get("tell"));
  }
}
