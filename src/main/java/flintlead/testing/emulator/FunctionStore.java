package flintlead.testing.emulator;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import java.util.function.Consumer;

/**
 * The store that hosts fetch functions from: slow when many fetch at once, with a limit, at times
 * stopped. On a loop.
 */
public final class FunctionStore {

  private final EventExecutor loop;
  private final int concurrency;
  private final int maxFetches;
  private int fetching;
  private double slowdown = 1;
  private Moment stoppedUntil = new Moment(0);

  /**
   * A store without load.
   *
   * @param concurrency fetches that it serves at full speed
   * @param maxFetches fetches at a time beyond which it refuses
   */
  public FunctionStore(EventExecutor loop, int concurrency, int maxFetches) {
    this.loop = loop;
    this.concurrency = concurrency;
    this.maxFetches = maxFetches;
  }

  /**
   * Fetches a function.
   *
   * @param alone how long it takes without other fetches
   * @param done is told whether the fetch was served
   */
  void fetch(Span alone, Consumer<Boolean> done) {
    if (fetching >= maxFetches) {
      loop.scheduleAt(loop.now(), () -> done.accept(false));
      return;
    }
    fetching++;
    Span duration = alone.times(slowdown * Math.max(1, (double) fetching / concurrency));
    loop.scheduleAt(
        Moment.later(loop.now(), stoppedUntil).plus(duration),
        () -> {
          fetching--;
          done.accept(true);
        });
  }

  /** Sets how many times slower than usual new fetches are. */
  public void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** New fetches begin only after the time. */
  public void pauseFor(Span span) {
    stoppedUntil = loop.now().plus(span);
  }
}
