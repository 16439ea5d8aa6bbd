package flintlead.transport.netty;

import flintlead.transport.loop.Address;
import flintlead.transport.loop.DatagramTransport;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;

/** A bound datagram channel. */
final class NettyDatagramSocket implements DatagramTransport.DatagramSocket {

  private final Channel channel;
  private final Address.Udp address;

  NettyDatagramSocket(Channel channel) {
    this.channel = channel;
    InetSocketAddress local = (InetSocketAddress) channel.localAddress();
    this.address = new Address.Udp(local.getAddress().getHostAddress(), local.getPort());
  }

  @Override
  public Address.Udp address() {
    return address;
  }

  @Override
  public void send(Address.Udp to, byte[] message) {
    InetSocketAddress recipient = new InetSocketAddress(to.host(), to.port());
    channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), recipient));
  }

  @Override
  public void close() {
    channel.close();
  }
}
