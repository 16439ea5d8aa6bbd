package flintlead.testing.simulation;

import flintlead.testing.simulation.VirtualEnvironment.EventKind;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventLoop;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;

/** One event loop of a {@link VirtualEnvironment}: a process on a machine of its own. */
final class VirtualEventLoop implements EventLoop {

  private static final Span CONNECT_TIMEOUT = Span.ofMillis(3_000);

  /** How many loops the event sum tells apart. */
  private static final int SUM_NUMBERS = 32;

  private final VirtualEnvironment world;
  private final VirtualNetwork network;
  private final String name;
  private final int sumNumber;
  private final int hall;
  private final Set<VirtualStream> streams = new LinkedHashSet<>();
  private Moment stalledUntil = new Moment(0);
  private boolean closed;

  /** Whether its machine is without power. */
  private boolean dark;

  VirtualEventLoop(VirtualEnvironment world, String name, int hall) {
    this.world = world;
    this.network = world.network();
    this.name = name;
    this.sumNumber = Math.floorMod(name.hashCode(), SUM_NUMBERS);
    this.hall = hall;
  }

  VirtualEnvironment world() {
    return world;
  }

  int hall() {
    return hall;
  }

  /** What its events add to the event sum. */
  int sumNumber() {
    return sumNumber;
  }

  /** Changes when the loop is closed: events from before are dropped. */
  int generation() {
    return closed ? -1 : 0;
  }

  // ---- events ----

  @Override
  public Moment now() {
    return world.now();
  }

  @Override
  public Runnable scheduleAt(Moment time, Runnable task) {
    return world.schedule(time, EventKind.TIMER, this, task);
  }

  /**
   * From outside or from another loop at once, as if its thread took no time to wake up; else as
   * the next event.
   */
  @Override
  public void execute(Runnable task) {
    if (closed) {
      return;
    }
    if (world.runningLoop() != this && !now().isBefore(stalledUntil)) {
      world.runWithin(this, task);
    } else {
      world.schedule(now(), EventKind.TASK, this, task);
    }
  }

  Moment stalledUntil() {
    return stalledUntil;
  }

  void stall(Moment until) {
    stalledUntil = Moment.later(stalledUntil, until);
  }

  boolean isClosed() {
    return closed;
  }

  @Override
  public void close() {
    List<VirtualStream> open = new ArrayList<>(streams);
    open.forEach(VirtualStream::abort);
    closed = true;
  }

  // ---- power ----

  /** Its machine loses power: nothing happens here, and no peer is told. */
  void powerOff() {
    dark = true;
    List<VirtualStream> open = new ArrayList<>(streams);
    streams.clear();
    open.forEach(VirtualStream::powerOff);
  }

  void powerOn() {
    dark = false;
  }

  boolean isDark() {
    return dark;
  }

  // ---- streams ----

  @Override
  public Stream connect(Address to, StreamListener listener) {
    VirtualStream client = new VirtualStream(this, listener);
    streams.add(client);
    VirtualListeningSocket socket = network.listeningAt(to);
    VirtualEventLoop server = socket == null ? network.lastListenerAt(to) : socket.place();
    world.schedule(
        now().plus(CONNECT_TIMEOUT),
        EventKind.TIMER,
        this,
        () -> {
          if (!client.isOpen()) {
            client.end("no connection to " + to + " in time");
          }
        });
    Span latency = latencyTo(server == null ? this : server);
    if (server != null && isUnreachable(server)) {
      // Neither accepted nor refused: nobody is there to say so.
      return client;
    }
    if (socket == null || !socket.isAccepting()) {
      refuse(client, to, latency.plus(latency));
      return client;
    }
    VirtualStream accepted = new VirtualStream(server, null);
    client.joined(accepted);
    accepted.joined(client);
    // From now on: a process that dies before it accepts refuses, as its kernel does.
    server.streams.add(accepted);
    world.schedule(
        now().plus(latency),
        EventKind.ARRIVAL,
        server,
        () -> server.connectArrived(socket, accepted, client, latency));
    return client;
  }

  private boolean isUnreachable(VirtualEventLoop server) {
    return server.dark
        || network.links().way(this, server).cut
        || network.links().way(server, this).cut;
  }

  private void refuse(VirtualStream client, Address to, Span delay) {
    world.schedule(
        now().plus(delay),
        EventKind.ARRIVAL,
        client.place(),
        () -> client.end("no connection to " + to + ": refused"));
  }

  /** A client's connection request reaches this loop. */
  private void connectArrived(
      VirtualListeningSocket socket, VirtualStream accepted, VirtualStream client, Span latency) {
    if (client.isOver() || dark) {
      return;
    }
    if (!socket.isAccepting()) {
      streams.remove(accepted);
      refuse(client, socket.address(), latency);
      return;
    }
    accepted.setListener(socket.accept(accepted));
    accepted.open();
    world.schedule(now().plus(latency), EventKind.ARRIVAL, client.place(), client::open);
  }

  /** How long one message to the other loop takes, this time. */
  Span latencyTo(VirtualEventLoop to) {
    return network.drawLatency(this, to);
  }

  void ended(VirtualStream stream) {
    streams.remove(stream);
  }

  @Override
  public ListeningSocket listen(Address at, Function<Stream, StreamListener> acceptor)
      throws IOException {
    boolean anyPort = at instanceof Address.Tcp tcp && tcp.port() == 0;
    Address address = anyPort ? new Address.Tcp(((Address.Tcp) at).host(), network.freePort()) : at;
    VirtualListeningSocket before = network.listeningAt(address);
    if (before != null && before.isAccepting()) {
      throw new IOException("cannot listen at " + address + ": in use");
    }
    VirtualListeningSocket socket = new VirtualListeningSocket(this, network, address, acceptor);
    network.listen(socket);
    return socket;
  }

  // ---- datagrams ----

  @Override
  public DatagramSocket bind(Address.Udp at, BiConsumer<Address.Udp, byte[]> receiver)
      throws IOException {
    Address.Udp address = at.port() == 0 ? new Address.Udp(at.host(), network.freePort()) : at;
    VirtualDatagramSocket before = network.datagramSocketAt(address);
    if (before != null && !before.place().isClosed()) {
      throw new IOException("cannot receive datagrams at " + address + ": in use");
    }
    VirtualDatagramSocket socket = new VirtualDatagramSocket(world, this, address, receiver);
    network.bind(socket);
    return socket;
  }

  @Override
  public String toString() {
    return name;
  }
}
