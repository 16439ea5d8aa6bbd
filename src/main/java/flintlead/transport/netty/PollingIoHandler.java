package flintlead.transport.netty;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.PollHistory;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandle;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Netty's NIO handler, which also records when it polls, and reads what a poll has found fairly and
 * for a limited time. No poll blocks for long, also where nothing is due: after a long time between
 * two polls the thread's processor time tells whether it was busy or did not run.
 */
final class PollingIoHandler implements IoHandler {

  /** The longest time for which a poll blocks. */
  private static final long MAX_BLOCKING_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final IoHandler delegate;
  private final ThreadAwareExecutor executor;
  private final PollHistory history;
  private final Supplier<Moment> clock;
  private final Listener listener;

  private final ReadyQueue reads;
  private final LongSupplier processorNanos;
  private long processorNanosAtLastPoll;

  /** The thread did not run, or was busy, where the time between two polls is longer. */
  private static final Span STANDSTILL = Span.ofMillis(50);

  /** A turn that takes more processor time is reported. */
  private static final Span LONG_TURN = Span.ofMillis(20);

  /** Share of the time between two polls for which a thread that was busy has run. */
  private static final double BUSY_SHARE = 0.5;

  private static final long NANOS_PER_MICRO = 1_000;

  /** Notified on the loop's thread. */
  interface Listener {

    /** The thread did not run, nor look at its sockets, for that long; a poll follows at once. */
    void standstill(Span length);

    /**
     * The thread was busy for that long and did not look at its sockets; a poll follows at once.
     *
     * @param processorTime that it used
     * @param slowestPeer the peer whose read took the longest, for logs
     */
    void busy(Span length, Span processorTime, String slowestPeer);

    /** All that the poll of that number has found was delivered. */
    void delivered(long poll);

    /** Whether the next poll must not wait for something to happen. */
    boolean hasWork();
  }

  private PollingIoHandler(
      IoHandler delegate,
      ThreadAwareExecutor executor,
      PollHistory history,
      Supplier<Moment> clock,
      LongSupplier processorNanos,
      ReadyQueue reads,
      Listener listener) {
    this.delegate = delegate;
    this.processorNanos = processorNanos;
    this.reads = reads;
    this.executor = executor;
    this.history = history;
    this.clock = clock;
    this.listener = listener;
  }

  /**
   * Returns the factory of one event loop.
   *
   * @param processorNanos processor time that the calling thread has used, in nanoseconds
   */
  static IoHandlerFactory factory(
      PollHistory history,
      Supplier<Moment> clock,
      LongSupplier processorNanos,
      ReadyQueue reads,
      Listener listener) {
    IoHandlerFactory nio = NioIoHandler.newFactory();
    return executor ->
        new PollingIoHandler(
            nio.newHandler(executor), executor, history, clock, processorNanos, reads, listener);
  }

  @Override
  public int run(IoHandlerContext context) {
    Moment now = clock.get();
    history.pollBegan(now);
    turnEnded(now.since(history.previousBegan()));
    int handled = delegate.run(new BoundedContext(context));
    reads.readAll();
    long poll = history.number();
    if (handled == 0 && history.lastDelivered() == poll - 1) {
      listener.delivered(poll);
    } else {
      // What the channels have put off, such as the end of a stream, is in the queue before this.
      executor.execute(() -> listener.delivered(poll));
    }
    return handled;
  }

  /** Reports how the time since the last poll was spent, if it was long. */
  private void turnEnded(Span sinceLastPoll) {
    long nanos = processorNanos.getAsLong();
    Span processorTime = new Span((nanos - processorNanosAtLastPoll) / NANOS_PER_MICRO);
    processorNanosAtLastPoll = nanos;
    if (history.number() == 1) {
      return;
    }
    reads.turnEnded(processorTime);
    boolean ran = !processorTime.isShorterThan(sinceLastPoll.times(BUSY_SHARE));
    if (processorTime.isLongerThan(LONG_TURN) || ran && sinceLastPoll.isLongerThan(STANDSTILL)) {
      listener.busy(sinceLastPoll, processorTime, reads.slowestPeer());
    }
    if (!ran && sinceLastPoll.isLongerThan(STANDSTILL)) {
      listener.standstill(sinceLastPoll);
    }
  }

  @Override
  public void initialize() {
    delegate.initialize();
  }

  @Override
  public void prepareToDestroy() {
    delegate.prepareToDestroy();
  }

  @Override
  public void destroy() {
    delegate.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return delegate.register(
        handle instanceof NioIoHandle channel ? new ReadyHandle(channel, reads) : handle);
  }

  @Override
  public void wakeup() {
    delegate.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> type) {
    return delegate.isCompatible(type);
  }

  /** What the thread tells the handler, with a bound on how long it may block. */
  private final class BoundedContext implements IoHandlerContext {
    private final IoHandlerContext context;

    BoundedContext(IoHandlerContext context) {
      this.context = context;
    }

    @Override
    public boolean canBlock() {
      return context.canBlock() && !listener.hasWork();
    }

    @Override
    public long delayNanos(long currentTimeNanos) {
      return Math.min(context.delayNanos(currentTimeNanos), MAX_BLOCKING_NANOS);
    }

    @Override
    public long deadlineNanos() {
      return context.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long activeNanos) {
      context.reportActiveIoTime(activeNanos);
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return context.shouldReportActiveIoTime();
    }
  }
}
