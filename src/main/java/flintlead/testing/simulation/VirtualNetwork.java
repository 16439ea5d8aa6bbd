package flintlead.testing.simulation;

import flintlead.testing.scenario.NetworkModel;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/** The simulated network: who listens where, and how long messages take. */
final class VirtualNetwork {

  private static final int FIRST_FREE_PORT = 20_000;

  private final NetworkModel model;
  private final Random random;
  private final VirtualLinks links = new VirtualLinks();
  private final Map<Address, VirtualListeningSocket> listening = new HashMap<>();

  /** Who last listened at an address: a machine without power does not even refuse. */
  private final Map<Address, VirtualEventLoop> lastListeners = new HashMap<>();

  private final Map<Address.Udp, VirtualDatagramSocket> datagramSockets = new HashMap<>();
  private int nextPort = FIRST_FREE_PORT;

  /**
   * @param seed of latencies and losses
   */
  VirtualNetwork(NetworkModel model, long seed) {
    this.model = model;
    this.random = new Random(seed);
  }

  NetworkModel model() {
    return model;
  }

  VirtualLinks links() {
    return links;
  }

  int freePort() {
    return nextPort++;
  }

  // ---- chance ----

  /** How long one message takes from one loop to another, this time. */
  Span drawLatency(VirtualEventLoop from, VirtualEventLoop to) {
    Span latency = model.latency().plus(model.jitter().times(random.nextDouble()));
    if (from.hall() != to.hall()) {
      latency = latency.plus(model.interHallLatency());
    }
    double slowdown = links.way(from, to).slow;
    return slowdown == 1 ? latency : latency.times(slowdown);
  }

  /** The share of messages that is lost on a link. */
  double lossRate(VirtualLinks.Link link) {
    return Math.max(model.lossRate(), link.loss);
  }

  /** Whether a message is lost; draws only where losses are possible. */
  boolean drawLoss(double lossRate) {
    return lossRate > 0 && random.nextDouble() < lossRate;
  }

  // ---- addresses ----

  /** The socket that accepts streams at an address; null for none. */
  VirtualListeningSocket listeningAt(Address address) {
    return listening.get(address);
  }

  /** Who last listened at an address; null for nobody. */
  VirtualEventLoop lastListenerAt(Address address) {
    return lastListeners.get(address);
  }

  void listen(VirtualListeningSocket socket) {
    lastListeners.put(socket.address(), socket.place());
    listening.put(socket.address(), socket);
  }

  void stopListening(VirtualListeningSocket socket) {
    listening.remove(socket.address(), socket);
  }

  /** The socket that receives datagrams at an address; null for none. */
  VirtualDatagramSocket datagramSocketAt(Address.Udp address) {
    return datagramSockets.get(address);
  }

  void bind(VirtualDatagramSocket socket) {
    datagramSockets.put(socket.address(), socket);
  }

  void unbind(VirtualDatagramSocket socket) {
    datagramSockets.remove(socket.address(), socket);
  }
}
