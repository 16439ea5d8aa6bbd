package flintlead.platform.upstream;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.loop.TimerQueue;
import flintlead.transport.loop.Transport;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** An event loop in virtual time, and a transport whose connections are controlled by the test. */
final class VirtualTransport implements EventExecutor, Transport {

  private final TimerQueue timers = new TimerQueue();
  private final List<VirtualConnection> connections = new ArrayList<>();
  private Moment now = new Moment(1_000_000);

  /** All connections that were ever opened, in the order of their opening. */
  List<VirtualConnection> connections() {
    return connections;
  }

  /** Runs the timers that are due within the span, and advances the clock by the span. */
  void run(Span span) {
    Moment end = now.plus(span);
    while (timers.next() != null && !timers.next().isAfter(end)) {
      now = Moment.later(now, timers.next());
      timers.poll(now, Long.MAX_VALUE).run();
    }
    now = end;
  }

  @Override
  public Moment now() {
    return now;
  }

  @Override
  public Runnable scheduleAt(Moment when, Runnable then) {
    return timers.add(when, then);
  }

  @Override
  public void execute(Runnable task) {
    scheduleAt(now, task);
  }

  @Override
  public Stream connect(Address to, StreamListener listener) {
    VirtualConnection connection = new VirtualConnection(this, listener);
    connections.add(connection);
    return connection;
  }

  @Override
  public ListeningSocket listen(Address at, Function<Stream, StreamListener> acceptor) {
    throw new UnsupportedOperationException();
  }
}
