package flintlead.testing.soak;

import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.RepeatingTask;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.Transport;
import flintlead.transport.netty.NettyEventLoop;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * A host of a soak: answers invocations after a short work time, and misbehaves while it has a
 * fault. Used on the hosts' event loop only, unless said.
 */
final class SoakHost {

  private static final Span FAULT_CHECK_INTERVAL = Span.ofMillis(10);
  private static final double CLOSE_IDLE_CHANCE = 0.1;

  private final int index;
  private final NettyEventLoop loop;
  private final SoakRecords records;
  private final Random random;
  private final HostFaultState faults = new HostFaultState();
  private final Set<SoakHostConnection> connections = new LinkedHashSet<>();
  private final Address at;
  private final RepeatingTask checks;
  private Transport.ListeningSocket listening;

  /** Set and read by the driver's thread; the host's loop reads it. */
  private volatile boolean draining;

  /** Listens at a port of its own; not to be called on the event loop. */
  SoakHost(int index, NettyEventLoop loop, SoakRecords records, long seed) throws IOException {
    this.index = index;
    this.loop = loop;
    this.records = records;
    this.random = new Random(seed);
    this.listening = listen(new Address.Tcp("127.0.0.1", 0));
    this.at = listening.address();
    RepeatingTask[] started = {null};
    java.util.concurrent.CompletableFuture<Void> ready =
        new java.util.concurrent.CompletableFuture<>();
    loop.execute(
        () -> {
          started[0] = RepeatingTask.start(loop, FAULT_CHECK_INTERVAL, this::check);
          ready.complete(null);
        });
    ready.join();
    this.checks = started[0];
  }

  private Transport.ListeningSocket listen(Address address) throws IOException {
    return loop.listen(
        address,
        stream -> {
          SoakHostConnection connection = new SoakHostConnection(this, stream);
          connections.add(connection);
          return connection;
        });
  }

  int index() {
    return index;
  }

  // ---- drains, by the driver's thread only ----

  /** Turns new work and probes away from now on; false where it does so already. */
  boolean beginDraining() {
    boolean begins = !draining;
    draining = true;
    return begins;
  }

  boolean isDraining() {
    return draining;
  }

  /** Its process ends: connections are reset, and new ones refused. */
  void endProcess() {
    Transport.ListeningSocket ending = listening;
    loop.execute(
        () -> {
          ending.close();
          List.copyOf(connections).forEach(connection -> connection.stream().abort());
        });
  }

  /** Another process starts at its address, and takes new work. */
  void startProcess() throws IOException {
    listening = listen(at);
    draining = false;
  }

  NettyEventLoop loop() {
    return loop;
  }

  SoakRecords records() {
    return records;
  }

  Random random() {
    return random;
  }

  boolean has(FaultKind kind) {
    return faults.has(kind);
  }

  String name() {
    return "s-" + index;
  }

  /** Where it listens, as the journal writes it; may be called by any thread. */
  String address() {
    Address.Tcp tcp = (Address.Tcp) at;
    return tcp.host() + ":" + tcp.port();
  }

  /** Begins a fault; from any thread. */
  void begin(FaultKind kind, long lengthMillis) {
    loop.execute(
        () -> {
          faults.begin(kind, System.nanoTime() + lengthMillis * 1_000_000);
          if (kind == FaultKind.RESET) {
            List.copyOf(connections).forEach(connection -> connection.stream().abort());
          }
        });
  }

  /** Delivers what a cut has held, and closes idle connections where that is its fault. */
  private void check() {
    for (SoakHostConnection connection : List.copyOf(connections)) {
      if (!has(FaultKind.CUT) && !connection.isLateToOpen()) {
        connection.deliverHeld();
      }
      if (has(FaultKind.CLOSE_IDLE)
          && connection.isIdle()
          && random.nextDouble() < CLOSE_IDLE_CHANCE) {
        connection.stream().close();
      }
    }
  }

  void closed(SoakHostConnection connection) {
    connections.remove(connection);
  }

  /** Ends it; from any thread. */
  void close() {
    loop.execute(
        () -> {
          checks.cancel();
          listening.close();
          List.copyOf(connections).stream().map(SoakHostConnection::stream).forEach(Stream::abort);
        });
  }
}
