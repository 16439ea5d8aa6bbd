package flintlead.testing.simulation;

import flintlead.testing.scenario.NetworkModel;
import flintlead.testing.simulation.VirtualEnvironment.EventKind;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One end of a simulated connection: bytes arrive in order, after the network's latency, as far as
 * the window allows.
 */
final class VirtualStream implements Stream {

  private static final Span MAX_RETRANSMIT_TIMEOUT = Span.ofMillis(2_000);
  private static final double MICROS_PER_SECOND = 1e6;

  private final VirtualEventLoop place;
  private final VirtualEnvironment world;
  private final VirtualNetwork network;
  private StreamListener listener;
  private VirtualStream peer;
  private boolean open;
  private boolean over;
  private boolean reading = true;
  private boolean closing;

  /** Written and not sent yet, as the window is full or the link is cut. */
  private final Deque<byte[]> backlog = new ArrayDeque<>();

  private long backlogBytes;

  /** Bytes that are in transit or unread at the peer. */
  private long inTransit;

  /** Whether the listener is to be told when the backlog is empty. */
  private boolean backlogged;

  /** Received and not read yet. */
  private final Deque<byte[]> arrived = new ArrayDeque<>();

  /** When the last message sent arrives at the peer: none overtakes it. */
  private Moment lastArrival = new Moment(0);

  /** When the link's bandwidth is free again. */
  private Moment bandwidthFreeAt = new Moment(0);

  /** Its machine has lost power. */
  private boolean poweredOff;

  /** The peer was not told of the end, as the link was cut. */
  private boolean peerNotTold;

  /** What was sent before an abort is missing: nothing after it is delivered. */
  private boolean gap;

  /** When it was aborted; null if it was not. */
  private Moment abortedAt;

  VirtualStream(VirtualEventLoop place, StreamListener listener) {
    this.place = place;
    this.world = place.world();
    this.network = world.network();
    this.listener = listener;
  }

  VirtualEventLoop place() {
    return place;
  }

  void setListener(StreamListener accepted) {
    listener = accepted;
  }

  void joined(VirtualStream other) {
    peer = other;
  }

  boolean isOpen() {
    return open;
  }

  boolean isOver() {
    return over;
  }

  void open() {
    if (!over) {
      open = true;
      listener.opened();
    }
  }

  @Override
  public Moment quietAt() {
    return place.now();
  }

  @Override
  public Moment earliestArrival() {
    return place.now();
  }

  // ---- sending ----

  @Override
  public void write(ByteBuf bytes) {
    byte[] copy = new byte[bytes.readableBytes()];
    bytes.readBytes(copy);
    bytes.release();
    if (over || !open || closing || copy.length == 0) {
      return;
    }
    backlog.add(copy);
    backlogBytes += copy.length;
    sendBacklog();
  }

  private void sendBacklog() {
    while (!backlog.isEmpty() && inTransit < network.model().windowBytes() && !isCut()) {
      byte[] next = backlog.poll();
      backlogBytes -= next.length;
      inTransit += next.length;
      send(next);
    }
    backlogged |= !backlog.isEmpty();
    if (backlogged && backlog.isEmpty()) {
      backlogged = false;
      place.scheduleAt(
          place.now(),
          () -> {
            if (!over) {
              listener.flushed();
            }
          });
    }
    if (closing && backlog.isEmpty() && !isCut()) {
      finishClose();
    }
  }

  /** Whether the link to the peer is cut; then {@link #linkRestored} is called later. */
  private boolean isCut() {
    if (peer == null) {
      return false;
    }
    VirtualLinks.Link link = network.links().way(place, peer.place);
    if (link.cut) {
      link.held.add(this);
    }
    return link.cut;
  }

  void linkRestored() {
    if (!over) {
      sendBacklog();
    }
  }

  private void send(byte[] bytes) {
    VirtualStream to = peer;
    Moment sent = retransmitted(transmitted(bytes.length));
    Moment at = Moment.later(lastArrival, sent.plus(place.latencyTo(to.place)));
    lastArrival = at;
    world.schedule(
        at,
        EventKind.ARRIVAL,
        to.place,
        () -> {
          // A kernel that was told to abort sends nothing again, and what comes after a gap is not
          // delivered.
          to.gap |= abortedAt != null && abortedAt.isBefore(sent);
          if (!to.gap) {
            to.receive(bytes);
          }
        });
  }

  /** When the last of so many bytes has left, given the bandwidth. */
  private Moment transmitted(int bytes) {
    Moment now = place.now();
    NetworkModel model = network.model();
    if (model.bytesPerSecond() <= 0) {
      return now;
    }
    Span duration = new Span((long) (bytes * MICROS_PER_SECOND / model.bytesPerSecond()));
    bandwidthFreeAt = Moment.later(now, bandwidthFreeAt).plus(duration);
    return bandwidthFreeAt;
  }

  /**
   * When a message that is sent then is sent for the last time: lost ones are sent again, after
   * growing timeouts.
   */
  private Moment retransmitted(Moment first) {
    Moment sent = first;
    double lossRate = network.lossRate(network.links().way(place, peer.place));
    for (Span timeout = network.model().retransmitTimeout();
        network.drawLoss(lossRate) && timeout.isShorterThan(MAX_RETRANSMIT_TIMEOUT);
        timeout = timeout.times(2)) {
      sent = sent.plus(timeout);
    }
    return sent;
  }

  private void acknowledged(int bytes) {
    inTransit -= bytes;
    if (!over) {
      sendBacklog();
    }
  }

  @Override
  public long pendingBytes() {
    return backlogBytes;
  }

  @Override
  public ByteBufAllocator alloc() {
    return UnpooledByteBufAllocator.DEFAULT;
  }

  // ---- receiving ----

  private void receive(byte[] bytes) {
    if (!over) {
      arrived.add(bytes);
      read();
    } else if ((poweredOff || peerNotTold) && !place.isDark()) {
      // A machine that has come back does not know the connection, and resets it.
      VirtualStream to = peer;
      world.schedule(
          place.now().plus(place.latencyTo(to.place)),
          EventKind.ARRIVAL,
          to.place,
          () -> to.end("connection reset"));
    }
  }

  private void read() {
    while (reading && !arrived.isEmpty() && !over) {
      byte[] next = arrived.poll();
      VirtualStream from = peer;
      world.schedule(
          place.now().plus(place.latencyTo(from.place)),
          EventKind.ARRIVAL,
          from.place,
          () -> from.acknowledged(next.length));
      world.recordArrival(next.length, next[0]);
      listener.received(Unpooled.wrappedBuffer(next));
    }
  }

  @Override
  public void setAutoRead(boolean enabled) {
    reading = enabled;
    if (enabled && !arrived.isEmpty()) {
      place.scheduleAt(place.now(), this::read);
    }
  }

  // ---- end ----

  /** Ends this end now, and tells its listener. */
  void end(String why) {
    if (!over) {
      over = true;
      place.ended(this);
      backlog.clear();
      arrived.clear();
      if (listener != null) {
        listener.closed(why);
      }
    }
  }

  @Override
  public void close() {
    if (!over && !closing) {
      closing = true;
      sendBacklog();
    }
  }

  /** Ends this end now, and the other once all that is in transit has arrived. */
  private void finishClose() {
    if (over) {
      return;
    }
    over = true;
    place.ended(this);
    tellPeer("the other end closed the connection");
    place.scheduleAt(place.now(), () -> listener.closed("closed"));
  }

  @Override
  public void abort() {
    if (!over) {
      over = true;
      abortedAt = place.now();
      place.ended(this);
      backlog.clear();
      tellPeer("connection reset");
      place.scheduleAt(
          place.now(),
          () -> {
            if (listener != null) {
              listener.closed("aborted");
            }
          });
    }
  }

  private void tellPeer(String why) {
    VirtualStream to = peer;
    // Over a cut link the peer is not told: its end is left half open.
    peerNotTold = to != null && network.links().way(place, to.place).cut;
    if (to != null && !peerNotTold) {
      Moment at = Moment.later(lastArrival, place.now().plus(place.latencyTo(to.place)));
      world.schedule(at, EventKind.ARRIVAL, to.place, () -> to.end(why));
    }
  }

  /** Its machine loses power: the peer is not told. */
  void powerOff() {
    over = true;
    backlog.clear();
    arrived.clear();
    poweredOff = true;
  }
}
