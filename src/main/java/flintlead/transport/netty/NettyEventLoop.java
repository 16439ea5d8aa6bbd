package flintlead.transport.netty;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.fair.LoopActivity;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventLoop;
import flintlead.transport.loop.LoopListener;
import flintlead.transport.loop.PollClock;
import flintlead.transport.loop.PollHistory;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.loop.TimerQueue;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One Netty event loop thread as {@link EventLoop}.
 *
 * <p>Order within a wake-up: tasks that other threads submitted (above all endpoint lists, because
 * of rule 3), then due timers, then the bytes that woke the thread. After a stall the bytes go
 * before the timers: responses that lay in the kernel while this thread stood still must not find
 * their hosts declared silent by timers that are late for the same reason.
 */
public final class NettyEventLoop implements EventLoop {

  /** Timers that are later than this show that the thread itself stood still. */
  private static final Span STALL_THRESHOLD = Span.ofMillis(20);

  /** Timers wait for a poll where the last one is older than this: see {@link #runPendingWork}. */
  private static final Span MAX_KNOWLEDGE_AGE = Span.ofMillis(20);

  private static final int MAX_LINGERING = 64;
  private static final int SHUTDOWN_TIMEOUT_SECONDS = 2;

  private final Logger log = LoggerFactory.getLogger(NettyEventLoop.class);
  private final EventLoopGroup group;
  private final io.netty.channel.EventLoop thread;
  private final TimerQueue timers = new TimerQueue();
  private final Queue<Runnable> submittedTasks = new ConcurrentLinkedQueue<>();

  /** Streams that were written to during the current event. */
  private final List<NettyStream> streamsToFlush = new ArrayList<>();

  private final PollHistory pollHistory = new PollHistory(clock());
  private final NettyPollClock polls = new NettyPollClock(pollHistory);
  private final ReadyQueue reads = new ReadyQueue();
  private final NettyStreams streams;
  private LoopListener loopListener = LoopListener.NONE;
  private Moment now;

  /** Whether due timers wait for the next poll. */
  private boolean timersWaitForPoll;

  /** When the thread is scheduled to wake up for a timer; null for no wake-up. */
  private Moment nextWakeUp;

  private boolean inEvent;

  /** Streams that wait for their peer to end its side. */
  private int lingering;

  /**
   * Starts the thread.
   *
   * @param name of the thread, a daemon
   */
  public NettyEventLoop(String name) {
    group =
        new MultiThreadIoEventLoopGroup(
            1,
            new DefaultThreadFactory(name, true),
            PollingIoHandler.factory(
                pollHistory,
                NettyEventLoop::clock,
                ManagementFactory.getThreadMXBean()::getCurrentThreadCpuTime,
                reads,
                new PollListener()));
    thread = group.next();
    streams = new NettyStreams(this, thread);
    now = clock();
  }

  /** The process's monotonic clock in microseconds; the same on every event loop and thread. */
  public static Moment clock() {
    return new Moment(System.nanoTime() / 1000);
  }

  // ---- events ----

  @Override
  public Moment now() {
    return thread.inEventLoop() ? now : clock();
  }

  @Override
  public Runnable scheduleAt(Moment time, Runnable task) {
    if (!thread.inEventLoop()) {
      throw new IllegalStateException("timers are set on their event loop only");
    }
    Runnable cancellation = timers.add(time, task);
    if (!inEvent) {
      scheduleWakeUp();
    }
    return cancellation;
  }

  @Override
  public void execute(Runnable task) {
    submittedTasks.add(task);
    if (!thread.isShuttingDown()) {
      thread.execute(this::runPendingWork);
    }
  }

  /**
   * Runs an event that no bytes belong to: submitted tasks and timers only. After a standstill that
   * no poll has followed yet the timers wait for one: what has arrived meanwhile, such as the rest
   * of a request or a host's response, goes before them.
   */
  private void runPendingWork() {
    if (submittedTasks.isEmpty() && timers.next() == null) {
      return;
    }
    Span age = clock().since(pollHistory.deliveredUpTo());
    if (age.isLongerThan(MAX_KNOWLEDGE_AGE) && !timersWaitForPoll) {
      timersWaitForPoll = true;
      polls.afterNextPoll(this::runTimersAfterPoll);
    }
    if (timersWaitForPoll) {
      runEvent(() -> {}, false);
    } else {
      runEvent(() -> {}, true);
    }
  }

  /** Once for each standstill, however long the poll has taken: timers must not wait for ever. */
  private void runTimersAfterPoll() {
    runDueTimers();
    timersWaitForPoll = false;
  }

  /** What the polls of this loop bring about. */
  private final class PollListener implements PollingIoHandler.Listener {

    @Override
    public void standstill(Span length) {
      runEvent(() -> loopListener.stoodStill(length), false);
    }

    @Override
    public void busy(Span length, Span processorTime, String slowestPeer) {
      runEvent(() -> loopListener.busy(length, processorTime, slowestPeer), false);
    }

    @Override
    public void delivered(long poll) {
      pollHistory.delivered(poll);
      for (Runnable task = polls.nextDeferredTask();
          task != null;
          task = polls.nextDeferredTask()) {
        runEvent(task, false);
      }
    }

    @Override
    public boolean hasWork() {
      return polls.hasDeferredTasks();
    }
  }

  /** Notifies the listener of long times between polls from now on; on the thread. */
  public void onLongTurn(LoopListener listener) {
    loopListener = listener;
  }

  /** Returns with whom the thread spent its time since the last call; on the thread. */
  public LoopActivity takeActivity() {
    return reads.takeActivity();
  }

  @Override
  public PollClock polls() {
    return polls;
  }

  /**
   * Whether one more stream may wait for its peer to end its side; {@link #lingerEnded} is called
   * once it has.
   */
  boolean mayLinger() {
    boolean allowed = lingering < MAX_LINGERING;
    lingering += allowed ? 1 : 0;
    return allowed;
  }

  void lingerEnded() {
    lingering--;
  }

  /** Reads the sockets of this loop in turn. */
  ReadyQueue reads() {
    return reads;
  }

  PollHistory pollHistory() {
    return pollHistory;
  }

  /**
   * Runs one event, between the work that comes before it and the flush of what it wrote. On the
   * thread only.
   *
   * @param runLateTimers false where bytes go before timers that a stall of this thread has delayed
   */
  void runEvent(Runnable event, boolean runLateTimers) {
    if (inEvent) {
      runGuarded(event);
      return;
    }
    inEvent = true;
    now = clock();
    try {
      runSubmittedTasks();
      Moment head = timers.next();
      boolean onTime = head != null && !now.since(head).isLongerThan(STALL_THRESHOLD);
      if (head != null && (runLateTimers || onTime && !timersWaitForPoll)) {
        runDueTimers();
      }
      runGuarded(event);
    } finally {
      inEvent = false;
      // By index: a flush may add streams.
      for (int i = 0; i < streamsToFlush.size(); i++) {
        streamsToFlush.get(i).flush();
      }
      streamsToFlush.clear();
      scheduleWakeUp();
    }
  }

  private void runSubmittedTasks() {
    for (Runnable task = submittedTasks.poll(); task != null; task = submittedTasks.poll()) {
      runGuarded(task);
    }
  }

  private void runDueTimers() {
    long addedBefore = timers.count();
    for (Runnable task = timers.poll(now, addedBefore);
        task != null;
        task = timers.poll(now, addedBefore)) {
      runGuarded(task);
    }
  }

  /**
   * An exception in one event must not end the thread, and with it every other invocation of this
   * gateway.
   */
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.error("an event failed", e);
    }
  }

  private void scheduleWakeUp() {
    Moment head = timers.next();
    if (head == null
        || nextWakeUp != null && !head.isBefore(nextWakeUp)
        || thread.isShuttingDown()) {
      return;
    }
    nextWakeUp = head;
    long micros = Math.max(0, head.since(clock()).micros());
    thread.schedule(
        () -> {
          if (nextWakeUp != null && !nextWakeUp.isAfter(head)) {
            nextWakeUp = null;
          }
          runPendingWork();
        },
        micros,
        TimeUnit.MICROSECONDS);
  }

  /** Flushes the stream at the end of the current event, or at once where none is running. */
  void flushLater(NettyStream stream) {
    streamsToFlush.add(stream);
    if (!inEvent) {
      runEvent(() -> {}, false);
    }
  }

  // ---- streams ----

  @Override
  public Stream connect(Address to, StreamListener listener) {
    return streams.connect(to, listener);
  }

  @Override
  public ListeningSocket listen(Address at, Function<Stream, StreamListener> acceptor)
      throws IOException {
    return streams.listen(at, acceptor);
  }

  // ---- datagrams ----

  @Override
  public DatagramSocket bind(Address.Udp at, BiConsumer<Address.Udp, byte[]> receiver)
      throws IOException {
    ChannelFuture bound =
        new Bootstrap()
            .group(thread)
            .channelFactory(NioDatagramChannel::new)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    String group = "datagrams at " + at;
                    streams.readInTurn(channel, group, () -> group, () -> {});
                    channel
                        .pipeline()
                        .addLast(new NettyDatagramHandler(NettyEventLoop.this, at, receiver));
                  }
                })
            .bind(new InetSocketAddress(at.host(), at.port()))
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException(
          "cannot receive datagrams at " + at + ": " + bound.cause().getMessage(), bound.cause());
    }
    return new NettyDatagramSocket(bound.channel());
  }

  // ---- shutdown ----

  /**
   * Ends the thread; streams that are still open are dropped. Returns before the thread has ended.
   */
  @Override
  public void close() {
    group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Waits for the thread's end, for tests and for a clean exit.
   *
   * @return false where it has not ended within the time
   */
  public boolean awaitClosed(Span timeout) throws InterruptedException {
    return group.awaitTermination(timeout.micros(), TimeUnit.MICROSECONDS);
  }
}
