package flintlead.gateway;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Stream;
import java.util.concurrent.Future;

/** What a gateway knows of the client of an invocation. Used on the gateway's event loop only. */
public interface ClientView {

  /** The earliest time at which the request may have come: from then on its time counts. */
  Moment earliestArrival();

  /** The latest time at which the client is known to have waited for its response. */
  Moment seenOpenAt();

  /** A client on a connection. */
  static ClientView of(Stream stream) {
    return new ClientView() {
      @Override
      public Moment earliestArrival() {
        return stream.earliestArrival();
      }

      @Override
      public Moment seenOpenAt() {
        return stream.quietAt();
      }
    };
  }

  /**
   * A client in this process, which may cancel at any time.
   *
   * @param invokedAt when it invoked the gateway
   */
  static ClientView of(Future<?> response, Moment invokedAt, EventExecutor loop) {
    return new InProcessClient(response, invokedAt, loop);
  }

  /** A client in this process. */
  record InProcessClient(Future<?> response, Moment invokedAt, EventExecutor loop)
      implements ClientView {

    /** A shorter wait for the event loop is not counted. */
    private static final Span NEGLIGIBLE_WAIT = Span.ofMillis(50);

    @Override
    public Moment earliestArrival() {
      Moment now = loop.polls().readClock();
      return now.since(invokedAt).isLongerThan(NEGLIGIBLE_WAIT) ? invokedAt : now;
    }

    @Override
    public Moment seenOpenAt() {
      return response.isDone() ? Moment.START : loop.polls().readClock();
    }
  }
}
