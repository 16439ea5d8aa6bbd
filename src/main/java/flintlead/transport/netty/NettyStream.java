package flintlead.transport.netty;

import flintlead.time.Moment;
import flintlead.transport.loop.SocketHistory;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** One Netty channel as a {@link Stream}; all calls on its event loop. */
final class NettyStream implements Stream {

  /** How long a peer may take to end its side after this one. */
  private static final long LINGER_MILLIS = 500;

  /** How long a closing stream may wait for its peer to read what was written. */
  private static final long CLOSE_TIMEOUT_MILLIS = 3_000;

  /** The most that is read from a socket before others have their turn. */
  static final int READ_BYTES = 2_048;

  private final NettyEventLoop loop;
  private StreamListener listener;
  private Channel channel;

  /** Written to since the last flush. */
  private boolean flushScheduled;

  /**
   * Whether written bytes wait for the kernel, so that the listener is to be told when they have
   * left.
   */
  private boolean backlogged;

  /** Whether the listener was told that the stream has ended. */
  private boolean ended;

  /** This side has ended: what is still received is discarded. */
  private boolean discarding;

  /** A write to the kernel is under way: what it brings about comes as an event of its own. */
  private boolean flushing;

  private SocketHistory history;

  NettyStream(NettyEventLoop loop, StreamListener listener) {
    this.loop = loop;
    this.listener = listener;
    this.history = new SocketHistory(loop.pollHistory(), NettyEventLoop.clock());
  }

  /** The stream was accepted in the present poll, and its connection came no earlier than this. */
  void accepted(Moment earliestArrival) {
    history = new SocketHistory(loop.pollHistory(), earliestArrival);
  }

  /** A poll has found something to read. */
  void readable() {
    history.readable();
  }

  void setListener(StreamListener accepted) {
    listener = accepted;
  }

  void setChannel(Channel opening) {
    channel = opening;
  }

  /** The connection could not be established. */
  void connectFailed(String why) {
    loop.runEvent(() -> notifyClosed(why), false);
  }

  /** The end of a stream that is just being written to must not come within that write. */
  private void closedByChannel(String why) {
    if (flushing) {
      channel.eventLoop().execute(() -> closedByChannel(why));
    } else {
      loop.runEvent(() -> notifyClosed(why), false);
    }
  }

  private void notifyClosed(String why) {
    if (!ended) {
      ended = true;
      listener.closed(why);
    }
  }

  @Override
  public void write(ByteBuf bytes) {
    if (ended || !channel.isActive()) {
      bytes.release();
      return;
    }
    history.written();
    channel.write(bytes, channel.voidPromise());
    if (!flushScheduled) {
      flushScheduled = true;
      loop.flushLater(this);
    }
  }

  @Override
  public void flush() {
    if (flushScheduled) {
      flushScheduled = false;
      flushing = true;
      try {
        channel.flush();
      } finally {
        flushing = false;
      }
      watchBacklog();
    }
  }

  /**
   * Reports an empty backlog by an empty write, whose promise completes once all bytes before it
   * have left.
   */
  private void watchBacklog() {
    if (!backlogged && pendingBytes() > 0) {
      backlogged = true;
      channel
          .writeAndFlush(channel.alloc().buffer(0))
          .addListener(
              (ChannelFutureListener)
                  sent -> {
                    if (sent.isSuccess()) {
                      // As a task of its own: until this promise has completed the buffer still
                      // counts its write, and the write may be under way in another event.
                      channel.eventLoop().execute(this::backlogFlushed);
                    }
                  });
    }
  }

  private void backlogFlushed() {
    backlogged = false;
    if (!ended) {
      loop.runEvent(listener::flushed, false);
      watchBacklog();
    }
  }

  // ---- how old the knowledge of it is ----

  @Override
  public Moment quietAt() {
    return history.quietAt();
  }

  @Override
  public boolean hasUnread() {
    return history.hasUnread();
  }

  @Override
  public Moment earliestArrival() {
    return history.earliestArrival(NettyEventLoop.clock());
  }

  @Override
  public long pendingBytes() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  @Override
  public void setAutoRead(boolean enabled) {
    history.setWatched(enabled);
    channel.config().setAutoRead(enabled);
  }

  @Override
  public void close() {
    if (!ended && channel.isActive()) {
      channel.writeAndFlush(channel.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
      abortIfNotRead();
    } else {
      closeChannel();
    }
  }

  @Override
  public void closeGracefully() {
    if (ended
        || discarding
        || !channel.isActive()
        || !(channel instanceof DuplexChannel duplex)
        || !loop.mayLinger()) {
      close();
      return;
    }
    discarding = true;
    channel.closeFuture().addListener(closed -> loop.lingerEnded());
    channel
        .writeAndFlush(channel.alloc().buffer(0))
        .addListener(
            (ChannelFutureListener)
                sent -> {
                  if (sent.isSuccess()) {
                    duplex.shutdownOutput();
                    channel
                        .eventLoop()
                        .schedule(this::closeChannel, LINGER_MILLIS, TimeUnit.MILLISECONDS);
                  } else {
                    closeChannel();
                  }
                });
    abortIfNotRead();
  }

  /** A peer that does not read must not keep a stream that closes, with all that is unsent. */
  private void abortIfNotRead() {
    if (channel.isOpen() && pendingBytes() > 0) {
      Future<?> timeout =
          channel.eventLoop().schedule(this::abort, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      channel.closeFuture().addListener(closed -> timeout.cancel(false));
    }
  }

  @Override
  public void abort() {
    if (channel instanceof SocketChannel && channel.isOpen()) {
      // Without it the kernel goes on sending what is left for minutes, and it may arrive long
      // after its deadline.
      try {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
      } catch (ChannelException e) {
        // The peer closed first: there is nothing left to send.
      }
    }
    closeChannel();
  }

  /** A channel that never had a socket, as where none could be made, throws when it is closed. */
  private void closeChannel() {
    if (channel.isOpen()) {
      channel.close();
    }
  }

  @Override
  public ByteBufAllocator alloc() {
    return channel.alloc();
  }

  /** Turns the channel's events into calls of the listener. */
  ChannelHandler handler() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelActive(ChannelHandlerContext ctx) {
        loop.runEvent(listener::opened, false);
      }

      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        loop.runEvent(
            () -> {
              try {
                history.read(bytes.readableBytes() < READ_BYTES);
                earliestArrival();
                if (!ended && !discarding) {
                  listener.received(bytes);
                }
              } finally {
                bytes.release();
              }
            },
            false);
      }

      @Override
      public void channelInactive(ChannelHandlerContext ctx) {
        closedByChannel("the other end closed the connection");
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        closedByChannel(cause.toString());
        ctx.close();
      }
    };
  }
}
