package flintlead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import flintlead.transport.jsonrpc.LineDecoder;
import flintlead.transport.jsonrpc.MessageReader;
import flintlead.transport.jsonrpc.MessageWriter;
import flintlead.transport.jsonrpc.RpcException;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.netty.NettyEventLoop;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** One question to a running gateway and its answer. */
final class Question {

  private static final int ANSWER_MOST = 4 << 20;
  private static final int WAIT_SECONDS = 5;

  private Question() {}

  /**
   * Asks and waits.
   *
   * @param params by name
   * @return the whole answer
   * @throws IOException when there is none in time, with why
   */
  static JsonNode ask(Address address, String method, Map<String, String> params)
      throws IOException, InterruptedException {
    try (NettyEventLoop loop = new NettyEventLoop("question")) {
      CompletableFuture<byte[]> line = new CompletableFuture<>();
      loop.execute(
          () -> {
            Asking asking = new Asking(line, method, params);
            asking.stream = loop.connect(address, asking);
          });
      return new ObjectMapper().readTree(line.get(WAIT_SECONDS, TimeUnit.SECONDS));
    } catch (TimeoutException e) {
      throw new IOException("no answer from " + address + " in time");
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e);
    }
  }

  /** One question and its answer. */
  private static final class Asking implements StreamListener, LineDecoder.LineHandler {
    private final CompletableFuture<byte[]> line;
    private final LineDecoder decoder = new LineDecoder(ANSWER_MOST, this);
    private final String method;
    private final Map<String, String> params;
    private Stream stream;

    Asking(CompletableFuture<byte[]> line, String method, Map<String, String> params) {
      this.line = line;
      this.method = method;
      this.params = params;
    }

    @Override
    public void opened() {
      MessageWriter frame = MessageWriter.request(stream.alloc().buffer(256), 1, method);
      params.forEach(frame::put);
      stream.write(frame.finishLine());
    }

    @Override
    public void received(ByteBuf bytes) {
      decoder.feed(bytes, stream.alloc());
    }

    @Override
    public void closed(String why) {
      decoder.close();
      line.completeExceptionally(new IllegalStateException(why));
    }

    @Override
    public void line(ByteBuf bytes) {
      try {
        byte[] text = MessageReader.validatedBytes(bytes);
        if (text != null) {
          line.complete(text);
        }
      } catch (RpcException e) {
        line.completeExceptionally(e);
      }
    }

    @Override
    public void lineTooLong(int most) {
      line.completeExceptionally(new IllegalStateException("an answer of over " + most + " bytes"));
    }
  }
}
