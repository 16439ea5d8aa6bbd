package flintlead.platform;

import flintlead.time.Span;
import flintlead.transport.jsonrpc.LineDecoder;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.netty.NettyEventLoop;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** Emulated hosts and the emulated journal service of a warm-up. */
final class WarmUpEmulators {

  private static final int MAX_LINE_BYTES = 1_000;

  private WarmUpEmulators() {}

  /** One connection to an emulator, read line by line. */
  private abstract static class LineConnection implements StreamListener, LineDecoder.LineHandler {
    final Stream stream;
    boolean ended;
    private final LineDecoder lines = new LineDecoder(MAX_LINE_BYTES, this);

    LineConnection(Stream stream) {
      this.stream = stream;
    }

    @Override
    public final void received(ByteBuf bytes) {
      lines.feed(bytes, stream.alloc());
    }

    final void write(String text) {
      stream.write(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Override
    public final void lineTooLong(int maxBytes) {
      stream.close();
    }

    @Override
    public final void closed(String error) {
      ended = true;
      lines.close();
    }
  }

  /**
   * A host: answers most invocations, some with a delay, refuses a few and aborts some connections.
   */
  static final class Host extends LineConnection {
    private static final int REFUSE_EVERY = 23;
    private static final int ABORT_EVERY = 101;
    private static final int DELAY_EVERY = 5;
    private static final Span RESPONSE_DELAY = Span.ofMillis(2);
    private static final int TAG_PREFIX_LENGTH = 8;
    private static final int HEX_RADIX = 16;

    private final NettyEventLoop loop;

    Host(NettyEventLoop loop, Stream stream) {
      super(stream);
      this.loop = loop;
    }

    @Override
    public void line(ByteBuf line) {
      String[] words = line.toString(StandardCharsets.US_ASCII).split(" ");
      if (!words[0].equals("fire") || ended) {
        return;
      }
      String tag = words[1];
      int number = Integer.parseInt(tag.substring(TAG_PREFIX_LENGTH), HEX_RADIX);
      if (number % ABORT_EVERY == 0) {
        ended = true;
        stream.abort();
      } else if (number % DELAY_EVERY == 0) {
        loop.scheduleAfter(
            RESPONSE_DELAY, () -> write(tag + " 200 meter=waiting:1,tell=started 4\r\nbody\r\n"));
      } else if (number % REFUSE_EVERY == 0) {
        write(tag + " 503 - 0\r\n\r\n");
      } else {
        write(tag + " 200 meter=waiting:0 4\r\nbody\r\n");
      }
    }
  }

  /** The journal service: sends an event that adds a draining host. */
  static final class Journal extends LineConnection {

    private static final String EVENT =
        "{\"pos\":2,\"hosts\":{\"snapshot\":false,\"endpoints\":[{\"name\":\"i\","
            + "\"address\":\"unix:/none\",\"status\":\"leaving\",\"since_ms\":1}]}}\n2\n";

    Journal(Stream stream) {
      super(stream);
    }

    @Override
    public void line(ByteBuf line) {
      write(EVENT);
    }
  }
}
