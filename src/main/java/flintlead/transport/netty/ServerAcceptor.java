package flintlead.transport.netty;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.ArrivalBound;
import flintlead.transport.loop.PollHistory;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes the connections of a listening socket. An {@code accept} that fails is tried again after a
 * short, growing backoff: the connection still waits in the kernel, with its request. Netty's own
 * bootstrap accepts nothing for a second after any failure.
 */
final class ServerAcceptor extends ChannelInboundHandlerAdapter {

  private static final Logger LOG = LoggerFactory.getLogger(ServerAcceptor.class);
  private static final Span FIRST_BACKOFF = Span.ofMillis(1);
  private static final Span MAX_BACKOFF = Span.ofMillis(32);

  /** Connections that Netty accepts from one poll; with fewer, none is left waiting. */
  private static final int MAX_ACCEPTS_PER_POLL = 16;

  private final ArrivalBound arrival = new ArrivalBound();
  private final PollHistory history;
  private final BiConsumer<Channel, Moment> configure;

  /** Connections accepted from this poll so far. */
  private int accepted;

  /** Since when the accept queue is not known to have been empty; null where it was. */
  private Moment waitingSince;

  private Span backoff = FIRST_BACKOFF;

  /**
   * Creates a handler for one listening socket.
   *
   * @param configure called with each accepted channel before it is registered, and with the
   *     earliest time at which its connection may have come
   */
  ServerAcceptor(PollHistory history, BiConsumer<Channel, Moment> configure) {
    this.history = history;
    this.configure = configure;
  }

  /** Connections wait; they may be accepted in a later poll only. */
  void readable() {
    waitingSince = waitingSince == null ? history.previousBegan() : waitingSince;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    backoff = FIRST_BACKOFF;
    accepted++;
    Channel channel = (Channel) message;
    try {
      configure.accept(channel, earliestArrival());
      ctx.channel()
          .eventLoop()
          .register(channel)
          .addListener(
              (ChannelFutureListener)
                  registered -> {
                    if (!registered.isSuccess()) {
                      drop(channel, registered.cause());
                    }
                  });
    } catch (RuntimeException e) {
      drop(channel, e);
    }
  }

  private Moment earliestArrival() {
    Moment lastEmpty = waitingSince == null ? history.previousBegan() : waitingSince;
    return arrival.earliest(history.number(), lastEmpty, NettyEventLoop.clock());
  }

  /** With none accepted, or as many as may be, others may still wait. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    boolean emptied = accepted > 0 && accepted < MAX_ACCEPTS_PER_POLL;
    if (emptied) {
      waitingSince = null;
    } else if (waitingSince == null) {
      waitingSince = earliestArrival();
    }
    accepted = 0;
  }

  private static void drop(Channel channel, Throwable cause) {
    LOG.error("an accepted connection could not be set up", cause);
    channel.unsafe().closeForcibly();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (backoff.equals(MAX_BACKOFF)) {
      // A single failure is gone with the next try; a series is worth a line.
      LOG.warn("accept fails again and again: {}", cause.toString());
    }
    waitingSince = earliestArrival();
    Channel listening = ctx.channel();
    listening.config().setAutoRead(false);
    listening
        .eventLoop()
        .schedule(
            () -> listening.config().setAutoRead(true), backoff.micros(), TimeUnit.MICROSECONDS);
    backoff = Span.shorter(backoff.times(2), MAX_BACKOFF);
  }
}
