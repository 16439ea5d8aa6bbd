package flintlead.testing.simulation;

import flintlead.testing.scenario.NetworkFaults;
import flintlead.transport.loop.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The links between simulated event loops that are cut, slow or lossy now. Those that are as usual
 * are not stored.
 */
final class VirtualLinks implements NetworkFaults {

  /** One direction between two loops. */
  static final class Link {
    boolean cut;

    /** Multiple of the usual latency. */
    double slow = 1;

    /** Share of messages that are lost. */
    double loss;

    /** Streams that hold back bytes, or their end, until the link is restored. */
    final Set<VirtualStream> held = new LinkedHashSet<>();

    private boolean isUsual() {
      return !cut && slow == 1 && loss == 0 && held.isEmpty();
    }
  }

  private static final Link USUAL = new Link();

  private final Map<VirtualEventLoop, Map<VirtualEventLoop, Link>> links = new HashMap<>();

  /** The link from one loop to another as it is now; not to be changed. */
  Link way(VirtualEventLoop from, VirtualEventLoop to) {
    if (links.isEmpty()) {
      return USUAL;
    }
    Map<VirtualEventLoop, Link> outgoing = links.get(from);
    return outgoing == null ? USUAL : outgoing.getOrDefault(to, USUAL);
  }

  private Link modifiable(EventLoop from, EventLoop to) {
    return links
        .computeIfAbsent((VirtualEventLoop) from, any -> new HashMap<>())
        .computeIfAbsent((VirtualEventLoop) to, any -> new Link());
  }

  private void removeIfUsual(EventLoop from, EventLoop to) {
    VirtualEventLoop source = (VirtualEventLoop) from;
    VirtualEventLoop target = (VirtualEventLoop) to;
    Map<VirtualEventLoop, Link> outgoing = links.get(source);
    if (outgoing != null && outgoing.containsKey(target) && outgoing.get(target).isUsual()) {
      outgoing.remove(target);
      if (outgoing.isEmpty()) {
        links.remove(source);
      }
    }
  }

  @Override
  public void partition(EventLoop from, EventLoop to, boolean bothWays) {
    modifiable(from, to).cut = true;
    if (bothWays) {
      modifiable(to, from).cut = true;
    }
  }

  @Override
  public void heal(EventLoop one, EventLoop other) {
    restore(one, other);
    restore(other, one);
  }

  private void restore(EventLoop from, EventLoop to) {
    Link link = modifiable(from, to);
    link.cut = false;
    Deque<VirtualStream> released = new ArrayDeque<>(link.held);
    link.held.clear();
    removeIfUsual(from, to);
    released.forEach(VirtualStream::linkRestored);
  }

  @Override
  public void powerOff(EventLoop place) {
    ((VirtualEventLoop) place).powerOff();
  }

  @Override
  public void powerOn(EventLoop place) {
    ((VirtualEventLoop) place).powerOn();
  }

  @Override
  public void setSlowdown(EventLoop one, EventLoop other, double factor) {
    modifiable(one, other).slow = factor;
    modifiable(other, one).slow = factor;
    removeIfUsual(one, other);
    removeIfUsual(other, one);
  }

  @Override
  public void setLoss(EventLoop one, EventLoop other, double share) {
    modifiable(one, other).loss = share;
    modifiable(other, one).loss = share;
    removeIfUsual(one, other);
    removeIfUsual(other, one);
  }
}
