package flintlead.testing.load;

import flintlead.time.Span;
import flintlead.transport.jsonrpc.LineDecoder;
import flintlead.transport.jsonrpc.Message;
import flintlead.transport.jsonrpc.MessageId;
import flintlead.transport.jsonrpc.MessageReader;
import flintlead.transport.jsonrpc.MessageWriter;
import flintlead.transport.jsonrpc.RpcException;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.netty.NettyEventLoop;
import io.netty.buffer.ByteBuf;
import java.io.IOException;

/**
 * A host that answers at once, or after a fixed time, so that the way to it is measured. On its
 * event loop.
 */
final class EchoHost {

  private static final int MAX_LINE_BYTES = 8 << 20;
  private static final int BUFFER_BYTES = 256;

  /** Claimed in the greeting: long past any slow start. */
  private static final long AGE_MS = 3_600_000;

  private final String name;
  private final NettyEventLoop loop;
  private final Span delay;
  private final MessageReader reader = new MessageReader();

  EchoHost(String name, NettyEventLoop loop, Span delay) {
    this.name = name;
    this.loop = loop;
    this.delay = delay;
  }

  /** Listens, and returns the bound address. Not from its event loop. */
  Address listen(Address at) throws IOException {
    return loop.listen(at, Connection::new).address();
  }

  private final class Connection implements StreamListener, LineDecoder.LineHandler {
    private final Stream stream;
    private final LineDecoder decoder = new LineDecoder(MAX_LINE_BYTES, this);

    Connection(Stream stream) {
      this.stream = stream;
    }

    @Override
    public void received(ByteBuf bytes) {
      decoder.feed(bytes, stream.alloc());
    }

    @Override
    public void closed(String why) {
      decoder.close();
    }

    @Override
    public void lineTooLong(int maxBytes) {
      stream.close();
    }

    @Override
    public void line(ByteBuf line) {
      try {
        Message message = reader.read(MessageReader.validatedBytes(line));
        if (message.id() != null) {
          handle(message);
        }
      } catch (RpcException e) {
        stream.close();
      }
    }

    private MessageWriter result(MessageId id) {
      return MessageWriter.result(stream.alloc().buffer(BUFFER_BYTES), id);
    }

    private void handle(Message message) {
      MessageId id = message.id();
      switch (message.method()) {
        case "hello" ->
            stream.write(
                result(id).put("host", name).put("start", name).put("ageMs", AGE_MS).finishLine());
        case "ping" -> stream.write(result(id).finishLine());
        default -> {
          byte[] payload = message.params() == null ? null : message.params().json("payload");
          if (delay.micros() == 0) {
            echo(id, payload);
          } else {
            loop.scheduleAfter(delay, () -> echo(id, payload));
          }
        }
      }
    }

    private void echo(MessageId id, byte[] payload) {
      stream.write(
          result(id).putJson("payload", payload).put("copy", "warm").put("crowd", 0).finishLine());
    }
  }
}
