package flintlead.testing.simulation;

import flintlead.testing.scenario.Environment;
import flintlead.testing.scenario.NetworkFaults;
import flintlead.testing.scenario.NetworkModel;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.EventLoop;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.zip.CRC32C;

/**
 * A clock, event loops and a network, simulated in one thread. Events run in the order of their
 * times, those of the same time in the order in which they were scheduled; the sum over all of them
 * is the same for the same seed, on any machine.
 */
public final class VirtualEnvironment implements Environment {

  /** Where the clock begins; above zero, which stands for the distant past. */
  private static final Moment BEGIN = new Moment(1_000_000_000_000L);

  private static final long BEGIN_EPOCH_MS = 1_800_000_000_000L;

  /**
   * What an event is: in a loop that wakes from a stall, submitted tasks run first, then bytes,
   * then timers.
   */
  enum EventKind {
    /** A task submitted from elsewhere. */
    TASK,
    /** Something arrives from the network. */
    ARRIVAL,
    /** A timer is due. */
    TIMER
  }

  private record Event(
      long micros,
      EventKind kind,
      long sequence,
      VirtualEventLoop place,
      int generation,
      Runnable task)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(micros, other.micros);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final VirtualNetwork network;
  private final Map<String, VirtualDisk> disks = new HashMap<>();
  private final PriorityQueue<Event> eventCount = new PriorityQueue<>();
  private final CRC32C eventSum = new CRC32C();
  private Moment now = BEGIN;
  private long scheduledEvents;
  private long runEvents;

  /** The loop whose event is running; null for none. */
  private VirtualEventLoop runningLoop;

  /** The first exception that an event has thrown; null for none. */
  private RuntimeException failure;

  /**
   * An environment without event loops yet.
   *
   * @param network its behaviour
   * @param seed of the network's latencies and losses
   */
  public VirtualEnvironment(NetworkModel network, long seed) {
    this.network = new VirtualNetwork(network, seed);
  }

  // ---- environment ----

  @Override
  public VirtualEventLoop eventLoop(String name) {
    return eventLoop(name, 0);
  }

  @Override
  public VirtualEventLoop eventLoop(String name, int hall) {
    return new VirtualEventLoop(this, name, hall);
  }

  @Override
  public VirtualEventLoop machineLoop(EventLoop shared, String name, int hall) {
    return eventLoop(name, hall);
  }

  VirtualNetwork network() {
    return network;
  }

  @Override
  public NetworkFaults networkFaults() {
    return network.links();
  }

  @Override
  public VirtualDisk disk(String name) {
    return disks.computeIfAbsent(name, any -> new VirtualDisk(any.hashCode()));
  }

  @Override
  public Moment now() {
    return now;
  }

  @Override
  public long epochMillis() {
    return BEGIN_EPOCH_MS + now.since(BEGIN).micros() / 1000;
  }

  @Override
  public Path directory() {
    return Path.of("/virtual");
  }

  @Override
  public void runAsync(String name, Runnable task) {
    task.run();
  }

  @Override
  public void stall(EventLoop place, Span span, Runnable over) {
    VirtualEventLoop stalled = (VirtualEventLoop) place;
    stalled.stall(now.plus(span));
    schedule(now.plus(span), EventKind.TASK, stalled, over);
  }

  @Override
  public void close() {
    eventCount.clear();
  }

  // ---- events ----

  /** Runs all events until the time has passed; throws what an event has thrown. */
  @Override
  public void advance(Span span) {
    Moment until = now.plus(span);
    while (failure == null && !eventCount.isEmpty() && eventCount.peek().micros <= until.micros()) {
      Event event = eventCount.poll();
      now = Moment.later(now, new Moment(event.micros));
      run(event);
    }
    if (failure != null) {
      throw failure;
    }
    now = Moment.later(now, until);
  }

  private void run(Event event) {
    VirtualEventLoop place = event.place;
    if (event.generation != place.generation()) {
      return;
    }
    Moment awake = place.stalledUntil();
    if (now.isBefore(awake)) {
      // Behind those that are there already, in the order that a real event loop wakes with.
      eventCount.add(
          new Event(
              awake.micros() + event.kind.ordinal(),
              event.kind,
              scheduledEvents++,
              place,
              event.generation,
              event.task));
      return;
    }
    runEvents++;
    addToSum(event);
    runWithin(place, event.task);
  }

  private void addToSum(Event event) {
    eventSum.update((int) event.micros);
    eventSum.update((int) (event.micros >>> 8));
    eventSum.update((int) (event.micros >>> 16));
    eventSum.update(event.kind.ordinal() + 4 * event.place.sumNumber());
  }

  /** Runs a task on a loop now, as an event within whatever runs. */
  void runWithin(VirtualEventLoop place, Runnable task) {
    VirtualEventLoop before = runningLoop;
    runningLoop = place;
    try {
      task.run();
    } catch (RuntimeException e) {
      // On real sockets the event loop logs it and goes on; here it is what is looked for.
      failure = failure == null ? e : failure;
    } finally {
      runningLoop = before;
    }
  }

  /** The loop whose event is running; null for none. */
  VirtualEventLoop runningLoop() {
    return runningLoop;
  }

  /**
   * Schedules an event.
   *
   * @return cancels it when run
   */
  Runnable schedule(Moment time, EventKind kind, VirtualEventLoop place, Runnable task) {
    boolean[] cancelled = new boolean[1];
    long micros = Math.max(time.micros(), now.micros());
    // A cancelled event still runs as an empty one: it counts in the sum.
    eventCount.add(
        new Event(
            micros,
            kind,
            scheduledEvents++,
            place,
            place.generation(),
            () -> {
              if (!cancelled[0]) {
                task.run();
              }
            }));
    return () -> cancelled[0] = true;
  }

  /**
   * Adds received bytes to the sum, so that two runs that differ in a message differ in the sum.
   */
  void recordArrival(int bytes, int firstByte) {
    eventSum.update(bytes);
    eventSum.update(firstByte);
  }

  /** Events run so far. */
  public long eventCount() {
    return runEvents;
  }

  /** The sum over all events so far. */
  public long eventSum() {
    return eventSum.getValue();
  }
}
