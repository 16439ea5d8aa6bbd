package flintlead.platform.upstream;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;

/** A connection whose remote end is controlled by the test. */
final class VirtualConnection implements Stream {

  /** Everything that was written to the connection. */
  final StringBuilder written = new StringBuilder();

  /** Number of bytes that the send buffer reports as unsent. */
  long unsent;

  boolean aborted;
  boolean closed;
  private final VirtualTransport transport;
  private final StreamListener listener;

  VirtualConnection(VirtualTransport transport, StreamListener listener) {
    this.transport = transport;
    this.listener = listener;
  }

  /** Opens the connection. */
  VirtualConnection open() {
    listener.opened();
    return this;
  }

  /** Delivers bytes from the host. */
  void receive(String text) {
    listener.received(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    transport.run(Span.ZERO);
  }

  /** Breaks the connection and runs the events that result from it. */
  void breakOff(String error) {
    breakOffWithoutEvents(error);
    transport.run(Span.ZERO);
  }

  /** Breaks the connection without running the events that result from it. */
  void breakOffWithoutEvents(String error) {
    listener.closed(error);
  }

  @Override
  public void write(ByteBuf bytes) {
    written.append(bytes.toString(StandardCharsets.US_ASCII));
  }

  @Override
  public Moment quietAt() {
    return transport.now();
  }

  @Override
  public Moment earliestArrival() {
    return transport.now();
  }

  @Override
  public long pendingBytes() {
    return unsent;
  }

  @Override
  public void setAutoRead(boolean on) {
    // Reading is always on.
  }

  @Override
  public void close() {
    closed = true;
  }

  @Override
  public void abort() {
    aborted = true;
  }

  @Override
  public ByteBufAllocator alloc() {
    return UnpooledByteBufAllocator.DEFAULT;
  }
}
