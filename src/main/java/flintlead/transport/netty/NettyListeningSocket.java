package flintlead.transport.netty;

import flintlead.transport.loop.Address;
import flintlead.transport.loop.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A bound server channel. */
final class NettyListeningSocket implements Transport.ListeningSocket {

  private static final Logger LOG = LoggerFactory.getLogger(NettyListeningSocket.class);

  private final Channel channel;
  private final Address address;

  /**
   * @param requested the address that was asked for, perhaps with port 0
   */
  NettyListeningSocket(Address requested, Channel channel) {
    this.channel = channel;
    this.address =
        channel.localAddress() instanceof InetSocketAddress inet
            ? new Address.Tcp(inet.getAddress().getHostAddress(), inet.getPort())
            : requested;
  }

  @Override
  public Address address() {
    return address;
  }

  @Override
  public void close() {
    ChannelFuture closing = channel.close();
    if (!channel.eventLoop().inEventLoop()) {
      closing.awaitUninterruptibly();
    }
    if (address instanceof Address.Unix unix) {
      try {
        Files.deleteIfExists(unix.path());
      } catch (IOException e) {
        LOG.warn("socket file {} could not be removed: {}", unix.path(), e.getMessage());
      }
    }
  }
}
