package flintlead.transport.netty;

import flintlead.time.Moment;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.loop.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.IoHandle;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.util.function.Function;
import java.util.function.Supplier;

/** Opens and accepts the streams of one event loop. */
final class NettyStreams {

  private static final int ACCEPT_BACKLOG = 1024;
  private static final int CONNECT_TIMEOUT_MILLIS = 3000;

  private final NettyEventLoop loop;
  private final io.netty.channel.EventLoop thread;

  NettyStreams(NettyEventLoop loop, io.netty.channel.EventLoop thread) {
    this.loop = loop;
    this.thread = thread;
  }

  Stream connect(Address to, StreamListener listener) {
    NettyStream stream = new NettyStream(loop, listener);
    Bootstrap bootstrap =
        new Bootstrap()
            .group(thread)
            .channelFactory(
                () ->
                    to instanceof Address.Unix
                        ? new NioDomainSocketChannel()
                        : new NioSocketChannel())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    configure(channel, stream, "connections to " + to, to::toString);
                  }
                });
    ChannelFuture connecting = bootstrap.connect(socketAddress(to));
    stream.setChannel(connecting.channel());
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            // As an event of its own: a failure at once, as with no descriptor left, would be
            // reported within this call.
            thread.execute(
                () ->
                    stream.connectFailed("no connection to " + to + ": " + describe(done.cause())));
          }
        });
    return stream;
  }

  /** With what the system has said: Netty wraps the failure to make a socket. */
  private static String describe(Throwable failure) {
    Throwable cause = failure.getCause();
    return cause == null ? failure.getMessage() : failure.getMessage() + " " + cause.getMessage();
  }

  private void configure(Channel channel, NettyStream stream, String group, Supplier<String> peer) {
    channel
        .config()
        .setRecvByteBufAllocator(
            new FixedRecvByteBufAllocator(NettyStream.READ_BYTES).maxMessagesPerRead(1));
    readInTurn(channel, group, peer, stream::readable);
    if (channel instanceof NioSocketChannel) {
      channel.config().setOption(ChannelOption.TCP_NODELAY, true);
    }
    channel.pipeline().addLast(stream.handler());
  }

  /**
   * Has the channel read in turn with all others until it is closed.
   *
   * @param group name of the channels whose processing time it shares
   * @param peer names the peer, for logs
   * @param readable called in each poll that finds the channel readable
   */
  void readInTurn(Channel channel, String group, Supplier<String> peer, Runnable readable) {
    IoHandle handle = (IoHandle) channel.unsafe();
    loop.reads().add(handle, group, peer, readable);
    channel.closeFuture().addListener(closed -> loop.reads().remove(handle));
  }

  Transport.ListeningSocket listen(Address at, Function<Stream, StreamListener> acceptor)
      throws IOException {
    if (at instanceof Address.Unix unix) {
      // A socket file that a killed process left behind would prevent its successor from binding.
      Files.deleteIfExists(unix.path());
    }
    Bootstrap bootstrap =
        new Bootstrap()
            .group(thread)
            .channelFactory(
                () ->
                    at instanceof Address.Unix
                        ? new NioServerDomainSocketChannel()
                        : new NioServerSocketChannel())
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel listening) {
                    acceptInTurn(listening, at, acceptor);
                  }
                });
    if (at instanceof Address.Tcp) {
      bootstrap.option(ChannelOption.SO_REUSEADDR, true);
    }
    ChannelFuture bound = bootstrap.bind(socketAddress(at)).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException(
          "cannot listen at " + at + ": " + describe(bound.cause()), bound.cause());
    }
    return new NettyListeningSocket(at, bound.channel());
  }

  private void acceptInTurn(
      Channel listening, Address at, Function<Stream, StreamListener> acceptor) {
    ServerAcceptor connections =
        new ServerAcceptor(
            loop.pollHistory(), (channel, earliest) -> accept(channel, earliest, acceptor));
    String group = "new connections at " + at;
    readInTurn(listening, group, () -> group, connections::readable);
    listening.pipeline().addLast(connections);
  }

  /** The acceptor gets the stream once its channel is registered, as it may close it at once. */
  private void accept(Channel channel, Moment earliest, Function<Stream, StreamListener> acceptor) {
    channel
        .pipeline()
        .addLast(
            new ChannelInitializer<>() {
              @Override
              protected void initChannel(Channel registered) {
                NettyStream stream = new NettyStream(loop, null);
                stream.setChannel(registered);
                stream.accepted(earliest);
                configure(
                    registered,
                    stream,
                    "clients of " + registered.parent().localAddress(),
                    () -> "client " + registered.remoteAddress());
                loop.runEvent(() -> stream.setListener(acceptor.apply(stream)), false);
              }
            });
  }

  private static SocketAddress socketAddress(Address address) {
    if (address instanceof Address.Unix unix) {
      return UnixDomainSocketAddress.of(unix.path());
    }
    Address.Tcp tcp = (Address.Tcp) address;
    return new InetSocketAddress(tcp.host(), tcp.port());
  }
}
