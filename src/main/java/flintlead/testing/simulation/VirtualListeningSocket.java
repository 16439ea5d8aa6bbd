package flintlead.testing.simulation;

import flintlead.transport.loop.Address;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.loop.Transport;
import java.util.function.Function;

/** A bound server socket of a simulated event loop. */
final class VirtualListeningSocket implements Transport.ListeningSocket {

  private final VirtualEventLoop place;
  private final VirtualNetwork network;
  private final Address address;
  private final Function<Stream, StreamListener> acceptor;
  private boolean closed;

  VirtualListeningSocket(
      VirtualEventLoop place,
      VirtualNetwork network,
      Address address,
      Function<Stream, StreamListener> acceptor) {
    this.place = place;
    this.network = network;
    this.address = address;
    this.acceptor = acceptor;
  }

  VirtualEventLoop place() {
    return place;
  }

  boolean isAccepting() {
    return !closed && !place.isClosed();
  }

  StreamListener accept(Stream stream) {
    return acceptor.apply(stream);
  }

  @Override
  public Address address() {
    return address;
  }

  @Override
  public void close() {
    closed = true;
    network.stopListening(this);
  }
}
