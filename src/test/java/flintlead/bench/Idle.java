package flintlead.bench;

import flintlead.scheduling.Scheduler;
import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.api.InvocationHandle;
import flintlead.scheduling.api.InvocationSpec;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.api.SchedulerContext;
import flintlead.scheduling.api.TriggerType;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;

/** A scheduler without a network, whose hosts answer at once, to measure scheduling by itself. */
final class Idle implements SchedulerContext {

  private static final Span MINUTE = Span.ofMillis(60_000);
  private static final float[] NO_REPORT = {};
  private final Scheduler scheduler;
  private Moment now = new Moment(1);
  private long nextInvocation;
  private long sentTo = -1;

  Idle(int hosts) {
    Deployment deployment =
        new Deployment(
            0,
            1,
            0,
            Span.ofMillis(4),
            false,
            List.of(
                new TriggerType(
                    Span.ofMillis(750),
                    3,
                    TriggerType.Effect.IDEMPOTENT,
                    TriggerType.Group.ALL,
                    Span.ZERO,
                    false)),
            List.of(),
            Span.ofMillis(50),
            Span.ZERO,
            0.25,
            MINUTE,
            2.5,
            MINUTE,
            3,
            true,
            false,
            true,
            false,
            true,
            MINUTE,
            true,
            true,
            true,
            true,
            Span.ofMillis(9_000),
            MINUTE,
            Span.ofMillis(5_000),
            2,
            0.3,
            List.of());
    scheduler = new Scheduler(this, deployment, 1);
    List<HostEntry> entries = new ArrayList<>();
    for (int i = 0; i < hosts; i++) {
      entries.add(new HostEntry(1_000 + 7L * i, 0, 0, 0, HostEntry.State.READY, new Moment(0), 1));
    }
    scheduler.replaceHosts(entries);
  }

  /**
   * Submits an invocation, which a loaded instance answers at once if it was sent; returns the
   * host, or -1 if it was not sent.
   */
  long invoke(long function) {
    now = now.plus(new Span(200));
    sentTo = -1;
    InvocationHandle handle =
        scheduler.submit(
            nextInvocation++,
            new InvocationSpec(
                0,
                Integer.MAX_VALUE,
                function,
                Span.ofMillis(3_000),
                Span.ZERO,
                false,
                100,
                2,
                Span.ofMillis(100),
                false));
    if (sentTo >= 0) {
      handle.attemptEnded(0, Outcome.OK, new Span(300), true, 1, NO_REPORT);
    }
    return sentTo;
  }

  @Override
  public Moment now() {
    return now;
  }

  @Override
  public void dispatch(long invocation, long host, Moment abandonAt) {
    sentTo = host;
  }

  @Override
  public Runnable schedule(Moment when, Runnable task) {
    return () -> {};
  }

  @Override
  public void cancel(long invocation, int attempt) {}

  @Override
  public void throttle(long invocation, Span retryAfter) {}

  @Override
  public void fail(long invocation) {}

  @Override
  public void load(long host, long function, int instances) {}

  @Override
  public void unload(long host, long function) {}

  @Override
  public void probe(long host) {}

  @Override
  public void closeIdle(long host) {}

  @Override
  public void subscribeHosts(boolean active) {}

  @Override
  public void fetchHosts() {}

  @Override
  public void sendGossip(int gateway, byte[] message) {}

  @Override
  public void broadcastGossip(byte[] message) {}

  @Override
  public void log(String line) {}
}
