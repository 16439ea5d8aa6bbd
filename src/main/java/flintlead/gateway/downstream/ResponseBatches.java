package flintlead.gateway.downstream;

import flintlead.transport.jsonrpc.MessageWriter;
import flintlead.transport.loop.Stream;
import io.netty.buffer.ByteBuf;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/** The batches of one connection whose responses are not all there yet. */
final class ResponseBatches {

  private static final int BATCH_BUFFER = 512;

  private final Stream stream;
  private final Consumer<ByteBuf> output;
  private final Set<Batch> open = new LinkedHashSet<>();
  private long bufferedBytes;

  /** Makes none; the output takes each batch as a line, once it is complete. */
  ResponseBatches(Stream stream, Consumer<ByteBuf> output) {
    this.stream = stream;
    this.output = output;
  }

  /** Opens a batch of so many responses, those that will be null among them. */
  ResponseSink open(int size) {
    Batch batch = new Batch(size);
    open.add(batch);
    return batch;
  }

  /** Bytes of responses that wait for the rest of their batch. */
  long bufferedBytes() {
    return bufferedBytes;
  }

  /** Drops all batches: the connection has ended. */
  void dropAll() {
    open.forEach(Batch::drop);
    open.clear();
  }

  /** Responses that leave together, as one JSON array. */
  private final class Batch implements ResponseSink {

    private int missing;
    private ByteBuf bytes;
    private boolean hasResponse;
    private int sizeBefore;

    Batch(int size) {
      this.missing = size;
    }

    void drop() {
      if (bytes != null) {
        bytes.release();
        bytes = null;
      }
    }

    @Override
    public ByteBuf buffer() {
      if (bytes == null) {
        bytes = stream.alloc().buffer(BATCH_BUFFER);
      }
      sizeBefore = bytes.readableBytes();
      return bytes.writeByte(hasResponse ? ',' : '[');
    }

    @Override
    public void complete(MessageWriter frame) {
      if (frame != null) {
        frame.finishBatchElement();
        hasResponse = true;
        bufferedBytes += bytes.readableBytes() - sizeBefore;
      }
      missing--;
      if (missing == 0) {
        open.remove(this);
        flush();
      }
    }

    private void flush() {
      if (hasResponse) {
        bufferedBytes -= bytes.readableBytes();
        output.accept(bytes.writeByte(']').writeByte('\n'));
        bytes = null;
      }
    }
  }
}
