package flintlead.transport.netty;

import flintlead.transport.loop.Address;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Hands each received datagram to its receiver as an event of the loop. */
final class NettyDatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

  private static final Logger LOG = LoggerFactory.getLogger(NettyDatagramHandler.class);

  private final NettyEventLoop loop;
  private final Address.Udp address;
  private final BiConsumer<Address.Udp, byte[]> receiver;

  NettyDatagramHandler(
      NettyEventLoop loop, Address.Udp address, BiConsumer<Address.Udp, byte[]> receiver) {
    this.loop = loop;
    this.address = address;
    this.receiver = receiver;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
    byte[] message = new byte[packet.content().readableBytes()];
    packet.content().readBytes(message);
    InetSocketAddress sender = packet.sender();
    Address.Udp from = new Address.Udp(sender.getAddress().getHostAddress(), sender.getPort());
    loop.runEvent(() -> receiver.accept(from, message), false);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // The kernel reports a peer whose port is closed; the failure detector finds out by its own
    // probes.
    LOG.debug("datagrams at {}: {}", address, cause.getMessage());
  }
}
