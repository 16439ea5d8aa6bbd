package flintlead.daemon;

import flintlead.time.Span;
import flintlead.transport.fair.LoopActivity;
import flintlead.transport.loop.LoopListener;
import flintlead.transport.loop.RepeatingTask;
import flintlead.transport.netty.NettyEventLoop;
import org.slf4j.Logger;

/** Logs when the event loop was busy or did not run, and with whom it spent its time. */
final class LoopActivityLog implements LoopListener {

  private static final Span INTERVAL = Span.ofMillis(5_000);
  private static final long MICROS_PER_MILLI = 1_000;

  private final NettyEventLoop loop;
  private final Logger log;

  private LoopActivityLog(NettyEventLoop loop, Logger log) {
    this.loop = loop;
    this.log = log;
  }

  /** Starts to log; from any thread. */
  static void start(NettyEventLoop loop, Logger log) {
    LoopActivityLog activityLog = new LoopActivityLog(loop, log);
    loop.execute(
        () -> {
          loop.onLongTurn(activityLog);
          RepeatingTask.start(loop, INTERVAL, activityLog::logActivity);
        });
  }

  @Override
  public void stoodStill(Span length) {
    log.warn("the process stood still for {} ms", millis(length));
  }

  @Override
  public void busy(Span length, Span processorTime, String slowestPeer) {
    log.warn(
        "the event loop was busy for {} ms ({} ms of processor time), longest with {}",
        millis(length),
        millis(processorTime),
        slowestPeer);
  }

  private void logActivity() {
    LoopActivity activity = loop.takeActivity();
    if (activity.cutTurns() > 0) {
      log.warn(
          "{} turns of the event loop left sockets unread; longest turn {} ms; most time went to {}"
              + " of {}, {} ms",
          activity.cutTurns(),
          millis(activity.longestTurn()),
          activity.busiestPeer(),
          activity.busiestGroup(),
          millis(activity.busiestPeerTime()));
    }
  }

  private static long millis(Span span) {
    return span.micros() / MICROS_PER_MILLI;
  }
}
