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
final class SimulatedGateway implements SchedulerContext {

  private static final int ALL_PEERS = 0xffff;

  private final int number;
  private final Reply reply;
  private final SchedulingPolicy policy;
  private final Map<Long, InvocationHandle> handles = new HashMap<>();
  private final Map<Long, Runnable> timers = new HashMap<>();
  private long nextTimerId;
  private Moment now;

  SimulatedGateway(int number, Reply reply, Moment now, Deployment deployment, long seed) {
    this.number = number;
    this.reply = reply;
    this.now = now;
    this.policy = new Scheduler(this, deployment, seed);
  }

  void advanceTo(Moment clock) {
    now = clock;
  }

  SchedulingPolicy policy() {
    return policy;
  }

  void submit(long invocation, InvocationSpec spec) {
    InvocationHandle handle = policy.submit(invocation, spec);
    if (!handle.isFinished()) {
      handles.put(invocation, handle);
    }
  }

  void attemptEnded(
      long invocation,
      int attempt,
      Outcome outcome,
      Span elapsed,
      boolean answered,
      int remark,
      float[] report) {
    InvocationHandle handle = handles.get(invocation);
    if (handle != null) {
      handle.attemptEnded(attempt, outcome, elapsed, answered, remark, report);
      dropIfFinished(invocation, handle);
    }
  }

  void responseStarted(long invocation, int attempt, Span elapsed) {
    InvocationHandle handle = handles.get(invocation);
    if (handle != null) {
      handle.responseStarted(attempt, elapsed);
    }
  }

  void clientDisconnected(long invocation) {
    InvocationHandle handle = handles.get(invocation);
    if (handle != null) {
      handle.clientDisconnected();
      dropIfFinished(invocation, handle);
    }
  }

  void timerFired(long timerId) {
    Runnable task = timers.remove(timerId);
    if (task != null) {
      task.run();
    }
  }

  void hostListChanged(int updateKind, List<HostEntry> hosts) {
    switch (updateKind) {
      case 0 -> policy.updateHosts(hosts);
      case 1, 2 -> policy.replaceHosts(hosts);
      default -> policy.hostListUnavailable();
    }
  }

  private void dropIfFinished(long invocation, InvocationHandle handle) {
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
  public void cancel(long invocation, int attempt) {
    reply.record(2, number, 12).putLong(invocation).put((byte) attempt);
  }

  @Override
  public void throttle(long invocation, Span retryAfter) {
    reply.record(9, number, 15).putLong(invocation).putInt((int) retryAfter.micros());
    dropAnswered(invocation);
  }

  @Override
  public void fail(long invocation) {
    reply.record(13, number, 11).putLong(invocation);
    dropAnswered(invocation);
  }

  /**
   * Drops the handle of an answered invocation. The scheduler also gives final answers outside
   * calls on the handle, and an invocation without attempts in flight gets no further event that
   * would drop it.
   */
  private void dropAnswered(long invocation) {
    InvocationHandle handle = handles.get(invocation);
    if (handle != null) {
      dropIfFinished(invocation, handle);
    }
  }

  @Override
  public void load(long host, long function, int instances) {
    reply.record(10, number, 16).putInt((int) host).putLong(function).put((byte) instances);
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
  public void sendGossip(int gateway, byte[] message) {
    reply
        .record(11, number, 7 + message.length)
        .putShort((short) gateway)
        .putShort((short) message.length)
        .put(message);
  }

  @Override
  public void broadcastGossip(byte[] message) {
    sendGossip(ALL_PEERS, message);
  }

  @Override
  public Runnable schedule(Moment when, Runnable task) {
    long timerId = nextTimerId++;
    timers.put(timerId, task);
    reply.record(0, number, 19).putLong(when.micros()).putLong(timerId);
    return () -> timers.remove(timerId);
  }

  @Override
  public void log(String line) {
    writeText(12, line);
  }

  void fatal(String line) {
    writeText(3, line);
  }

  private void writeText(int code, String line) {
    byte[] encoded = line.getBytes(StandardCharsets.UTF_8);
    byte[] truncated = encoded.length > 0xffff ? Arrays.copyOf(encoded, 0xffff) : encoded;
    reply
        .record(code, number, 5 + truncated.length)
        .putShort((short) truncated.length)
        .put(truncated);
  }
}
