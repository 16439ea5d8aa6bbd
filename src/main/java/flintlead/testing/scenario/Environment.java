package flintlead.testing.scenario;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.EventLoop;
import java.io.IOException;
import java.nio.file.Path;

/**
 * What a scenario runs in: real threads and sockets, or a simulation. Used by the thread that runs
 * the scenario.
 */
public interface Environment extends AutoCloseable {

  /** Creates an event loop of its own, as a machine or process would have; closed by the caller. */
  EventLoop eventLoop(String name);

  /** The same in a hall, where the environment has halls. */
  default EventLoop eventLoop(String name, int hall) {
    return eventLoop(name);
  }

  /**
   * The event loop of a machine of its own in a hall, where the environment tells machines apart;
   * else the shared one.
   */
  default EventLoop machineLoop(EventLoop shared, String name, int hall) {
    return shared;
  }

  /** What can be done to the network; null where it is the kernel's. */
  default NetworkFaults networkFaults() {
    return null;
  }

  /** A disk that outlives the processes that use it; null for none. */
  default FaultyDisk disk(String name) {
    return null;
  }

  /** The monotonic clock that all event loops share. */
  Moment now();

  /** The wall clock, in milliseconds since 1970. */
  long epochMillis();

  /** Where Unix sockets lie. A random name would make two simulated runs differ by its length. */
  Path directory() throws IOException;

  /** Runs a task that may wait for an event loop, on none of them. */
  void runAsync(String name, Runnable task);

  /** Lets time pass; from none of the event loops. */
  void advance(Span span);

  /**
   * Keeps an event loop from running for a time from now on; from any thread.
   *
   * @param over run at the end, on the event loop
   */
  void stall(EventLoop place, Span span, Runnable over);

  @Override
  void close() throws IOException;
}
