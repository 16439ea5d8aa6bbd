package flintlead.benchlink;

import flintlead.scheduling.Scheduler;
import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.api.InvocationHandle;
import flintlead.scheduling.api.InvocationSpec;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.api.SchedulerContext;
import flintlead.scheduling.api.SchedulingPolicy;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One gateway instance of the simulation: encodes the actions of its scheduler, and finds the
 * invocation handle or timer that an event refers to.
 */
final class Instance implements SchedulerContext {

  private static final int ALL_PEERS = 0xffff;

  private final int number;
  private final Reply reply;
  private final SchedulingPolicy dispatcher;
  private final Map<Long, InvocationHandle> handles = new HashMap<>();
  private final Map<Long, Runnable> timers = new HashMap<>();
  private long nextCookie;
  private Moment now;

  Instance(int number, Reply reply, Moment now, Deployment deployment, long seed) {
    this.number = number;
    this.reply = reply;
    this.now = now;
    this.dispatcher = new Scheduler(this, deployment, seed);
  }

  void advanceTo(Moment clock) {
    now = clock;
  }

  SchedulingPolicy dispatcher() {
    return dispatcher;
  }

  void arrived(long invocation, InvocationSpec call) {
    InvocationHandle handle = dispatcher.submit(invocation, call);
    if (!handle.isFinished()) {
      handles.put(invocation, handle);
    }
  }

  void ended(
      long invocation,
      int dispatch,
      Outcome outcome,
      Span elapsed,
      boolean last,
      int remark,
      float[] report) {
    InvocationHandle handle = handles.get(invocation);
    if (handle != null) {
      handle.attemptEnded(dispatch, outcome, elapsed, last, remark, report);
      forget(invocation, handle);
    }
  }

  void started(long invocation, int dispatch, Span elapsed) {
    InvocationHandle handle = handles.get(invocation);
    if (handle != null) {
      handle.responseStarted(dispatch, elapsed);
    }
  }

  void hungUp(long invocation) {
    InvocationHandle handle = handles.get(invocation);
    if (handle != null) {
      handle.clientDisconnected();
      forget(invocation, handle);
    }
  }

  void fired(long cookie) {
    Runnable then = timers.remove(cookie);
    if (then != null) {
      then.run();
    }
  }

  void announced(int how, List<HostEntry> hosts) {
    switch (how) {
      case 0 -> dispatcher.updateHosts(hosts);
      case 1, 2 -> dispatcher.replaceHosts(hosts);
      default -> dispatcher.hostListUnavailable();
    }
  }

  private void forget(long invocation, InvocationHandle handle) {
    if (handle.isFinished()) {
      handles.remove(invocation);
    }
  }

  @Override
  public Moment now() {
    return now;
  }

  @Override
  public void dispatch(long invocation, long host, Moment abandonAt) {
    reply.record(7, number, 23).putLong(invocation).putInt((int) host).putLong(abandonAt.micros());
  }

  @Override
  public void cancel(long invocation, int dispatch) {
    reply.record(2, number, 12).putLong(invocation).put((byte) dispatch);
  }

  @Override
  public void throttle(long invocation, Span retryIn) {
    reply.record(9, number, 15).putLong(invocation).putInt((int) retryIn.micros());
    forgetAnswered(invocation);
  }

  @Override
  public void fail(long invocation) {
    reply.record(13, number, 11).putLong(invocation);
    forgetAnswered(invocation);
  }

  /**
   * Drops the handle of an answered invocation. The scheduler also gives final answers outside
   * calls on the handle, and an invocation without attempts in flight gets no further event that
   * would drop it.
   */
  private void forgetAnswered(long invocation) {
    InvocationHandle handle = handles.get(invocation);
    if (handle != null) {
      forget(invocation, handle);
    }
  }

  @Override
  public void load(long host, long function, int copies) {
    reply.record(10, number, 16).putInt((int) host).putLong(function).put((byte) copies);
  }

  @Override
  public void unload(long host, long function) {
    reply.record(5, number, 15).putInt((int) host).putLong(function);
  }

  @Override
  public void probe(long host) {
    reply.record(4, number, 7).putInt((int) host);
  }

  @Override
  public void closeIdle(long host) {
    reply.record(1, number, 7).putInt((int) host);
  }

  @Override
  public void subscribeHosts(boolean active) {
    reply.record(6, number, 4).put((byte) (active ? 1 : 0));
  }

  @Override
  public void fetchHosts() {
    reply.record(8, number, 3);
  }

  @Override
  public void sendGossip(int gateway, byte[] words) {
    reply
        .record(11, number, 7 + words.length)
        .putShort((short) gateway)
        .putShort((short) words.length)
        .put(words);
  }

  @Override
  public void broadcastGossip(byte[] words) {
    sendGossip(ALL_PEERS, words);
  }

  @Override
  public Runnable schedule(Moment when, Runnable then) {
    long cookie = nextCookie++;
    timers.put(cookie, then);
    reply.record(0, number, 19).putLong(when.micros()).putLong(cookie);
    return () -> timers.remove(cookie);
  }

  @Override
  public void log(String line) {
    text(12, line);
  }

  void fatal(String line) {
    text(3, line);
  }

  private void text(int code, String line) {
    byte[] words = line.getBytes(StandardCharsets.UTF_8);
    byte[] cut = words.length > 0xffff ? Arrays.copyOf(words, 0xffff) : words;
    reply.record(code, number, 5 + cut.length).putShort((short) cut.length).put(cut);
  }
}
