package flintlead.transport.netty;

import io.netty.channel.IoEvent;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoEvent;
import io.netty.channel.nio.NioIoHandle;
import io.netty.channel.nio.NioIoOps;
import java.nio.channels.SelectableChannel;

/**
 * One channel's handle, which puts off reads: they happen when it is the channel's turn, or after a
 * later poll, which reports what was left unread again. Writes and connects happen at once.
 */
final class ReadyHandle implements NioIoHandle {

  /** Receives the handles whose channels can be read. */
  interface Listener {
    void readable(ReadyHandle handle);
  }

  /** A part of what the selector has reported for a channel. */
  private record PartialEvent(NioIoOps ops) implements NioIoEvent {}

  private static final NioIoEvent READABLE = new PartialEvent(NioIoOps.READ_AND_ACCEPT);

  private final NioIoHandle delegate;
  private final Listener listener;
  private IoRegistration registration;

  ReadyHandle(NioIoHandle delegate, Listener listener) {
    this.delegate = delegate;
    this.listener = listener;
  }

  /** The channel's own handle. */
  NioIoHandle delegate() {
    return delegate;
  }

  @Override
  public void handle(IoRegistration reported, IoEvent event) {
    NioIoOps ops = ((NioIoEvent) event).ops();
    NioIoOps others = ops.without(NioIoOps.READ_AND_ACCEPT);
    if (!others.equals(NioIoOps.NONE)) {
      delegate.handle(reported, new PartialEvent(others));
    }
    if (isReadable(ops) && reported.isValid()) {
      registration = reported;
      listener.readable(this);
    }
  }

  /** A channel that failed may be reported with nothing: a read tells what has happened. */
  private static boolean isReadable(NioIoOps ops) {
    return ops.equals(NioIoOps.NONE) || ops.contains(NioIoOps.READ_AND_ACCEPT);
  }

  /** Reads the channel, unless it was closed since it was reported. */
  void read() {
    if (registration.isValid()) {
      delegate.handle(registration, READABLE);
    }
  }

  @Override
  public SelectableChannel selectableChannel() {
    return delegate.selectableChannel();
  }

  @Override
  public void registered() {
    delegate.registered();
  }

  @Override
  public void unregistered() {
    delegate.unregistered();
  }

  @Override
  public void close() throws Exception {
    delegate.close();
  }
}
