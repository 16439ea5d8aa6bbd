package flintlead.testing.simulation;

import flintlead.testing.simulation.VirtualEnvironment.EventKind;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.DatagramTransport;
import java.util.function.BiConsumer;

/** A bound datagram socket of a simulated event loop. A lost message is not sent again. */
final class VirtualDatagramSocket implements DatagramTransport.DatagramSocket {

  private final VirtualEnvironment world;
  private final VirtualEventLoop place;
  private final Address.Udp address;
  private final BiConsumer<Address.Udp, byte[]> receiver;

  VirtualDatagramSocket(
      VirtualEnvironment world,
      VirtualEventLoop place,
      Address.Udp address,
      BiConsumer<Address.Udp, byte[]> receiver) {
    this.world = world;
    this.place = place;
    this.address = address;
    this.receiver = receiver;
  }

  VirtualEventLoop place() {
    return place;
  }

  @Override
  public Address.Udp address() {
    return address;
  }

  @Override
  public void send(Address.Udp to, byte[] message) {
    VirtualNetwork network = world.network();
    VirtualDatagramSocket target = network.datagramSocketAt(to);
    if (place.isClosed() || place.isDark() || target == null) {
      return;
    }
    VirtualLinks.Link link = network.links().way(place, target.place);
    if (link.cut || network.drawLoss(network.lossRate(link))) {
      return;
    }
    byte[] copy = message.clone();
    world.schedule(
        world.now().plus(network.drawLatency(place, target.place)),
        EventKind.ARRIVAL,
        target.place,
        () -> target.receive(address, copy));
  }

  private void receive(Address.Udp from, byte[] message) {
    if (!place.isDark() && world.network().datagramSocketAt(address) == this) {
      world.recordArrival(message.length, message.length == 0 ? 0 : message[0]);
      receiver.accept(from, message);
    }
  }

  @Override
  public void close() {
    world.network().unbind(this);
  }
}
