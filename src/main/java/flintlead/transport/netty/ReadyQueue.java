package flintlead.transport.netty;

import flintlead.time.Span;
import flintlead.transport.fair.ActivityRecorder;
import flintlead.transport.fair.FairQueue;
import flintlead.transport.fair.LoopActivity;
import flintlead.transport.fair.ServiceAccount;
import flintlead.transport.fair.ServiceGroup;
import io.netty.channel.IoHandle;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Reads the sockets that a poll has found readable, fairly and for a limited time; the next poll
 * reports what was left unread. Each socket is read once a turn, and a read is small, so that no
 * peer decides how long a turn is. On the event loop's thread.
 */
final class ReadyQueue implements ReadyHandle.Listener {

  /** How long sockets are read before all of them are polled again. */
  private static final long TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(3);

  private final FairQueue<ReadyHandle> queue = new FairQueue<>();
  private final Map<IoHandle, SocketReader> readers = new IdentityHashMap<>();
  private final Map<String, SharedGroup> groups = new HashMap<>();
  private final ActivityRecorder activity = new ActivityRecorder();
  private Supplier<String> slowestPeer;
  private long slowestNanos;

  /** Whether the last turn ended with sockets left unread. */
  private boolean cut;

  /** A group with the number of its sockets. */
  private static final class SharedGroup {
    private final ServiceGroup group;
    private int sockets;

    SharedGroup(String name) {
      group = new ServiceGroup(name);
    }
  }

  /**
   * Adds a socket.
   *
   * @param group name of the group whose processing time it shares
   * @param peer names the peer, for logs
   * @param readable called in each poll that finds the socket readable, before any socket is read
   */
  void add(IoHandle handle, String group, Supplier<String> peer, Runnable readable) {
    SharedGroup shared = groups.computeIfAbsent(group, SharedGroup::new);
    shared.sockets++;
    ServiceAccount account = queue.newAccount(shared.group);
    readers.put(handle, new SocketReader(account, peer, readable));
  }

  /** Removes a socket that was closed. */
  void remove(IoHandle handle) {
    SocketReader reader = readers.remove(handle);
    if (reader != null) {
      String group = reader.account().group().name();
      groups.computeIfPresent(group, (name, shared) -> --shared.sockets == 0 ? null : shared);
    }
  }

  @Override
  public void readable(ReadyHandle handle) {
    SocketReader reader = readers.get(handle.delegate());
    if (reader == null) {
      handle.read();
    } else {
      reader.readable().run();
      queue.add(reader.account(), handle);
    }
  }

  /** Reads sockets until all that are readable were read, or the turn has lasted long enough. */
  void readAll() {
    slowestPeer = null;
    slowestNanos = 0;
    queue.beginTurn();
    long start = System.nanoTime();
    long now = start;
    try {
      while (now - start <= TURN_NANOS && !queue.isEmpty()) {
        now = readNext(now);
      }
    } finally {
      cut = !queue.isEmpty();
      queue.endTurn();
    }
  }

  /** Returns the time at which the next socket was read. */
  private long readNext(long start) {
    ReadyHandle next = queue.poll();
    SocketReader reader = readers.get(next.delegate());
    long end = start;
    try {
      next.read();
    } finally {
      end = System.nanoTime();
      queue.charge(end - start);
    }
    if (reader != null) {
      record(reader, end - start);
    }
    return end;
  }

  private void record(SocketReader reader, long nanos) {
    activity.served(reader.account(), reader.peer(), nanos);
    if (nanos > slowestNanos) {
      slowestPeer = reader.peer();
      slowestNanos = nanos;
    }
  }

  /**
   * Records how long the turn took in all, with the timers and tasks that followed its reads.
   *
   * @param processorTime of the thread
   */
  void turnEnded(Span processorTime) {
    activity.turnEnded(processorTime, cut);
  }

  /** The peer whose read took the longest in the last turn, for logs. */
  String slowestPeer() {
    return slowestPeer == null ? "none" : slowestPeer.get();
  }

  /** Returns with whom the time was spent since the last call. */
  LoopActivity takeActivity() {
    return activity.take();
  }
}
