package flintlead.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.api.InvocationHandle;
import flintlead.scheduling.api.InvocationSpec;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.api.SchedulerContext;
import flintlead.scheduling.api.TriggerType;
import flintlead.scheduling.api.TriggerType.Effect;
import flintlead.scheduling.api.TriggerType.Group;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * A scripted fleet of hosts behind one scheduler: it plays the events of a test and checks the five
 * rules at every action of the scheduler.
 */
final class ScriptedFleet implements SchedulerContext {

  static final int IDEMPOTENT = 0;
  static final int TOKENED_ALL = 1;
  static final int TOKENED_CELL = 2;
  static final int NON_IDEMPOTENT = 3;
  static final float[] NO_REPORT = {};

  /** One attempt as the fleet received it. */
  static final class SentAttempt {
    final long invocation;
    final int number;
    final long host;
    final Moment sentAt;
    Outcome outcome;

    SentAttempt(long invocation, int number, long host, Moment sentAt) {
      this.invocation = invocation;
      this.number = number;
      this.host = host;
      this.sentAt = sentAt;
    }
  }

  /** One submitted invocation as its client sees it. */
  static final class ClientInvocation {
    int pool;
    int type;
    Moment deadline;
    InvocationHandle handle;
    String answer;
    final List<SentAttempt> attempts = new ArrayList<>();

    SentAttempt firstThatMayHaveRun() {
      return attempts.stream()
          .filter(attempt -> attempt.outcome == null || attempt.outcome.mayHaveRun())
          .findFirst()
          .orElse(null);
    }
  }

  private record Timer(Moment when, int order, Runnable then) {}

  final Deployment deployment;
  final Scheduler scheduler;
  final Map<Long, ClientInvocation> invocations = new TreeMap<>();
  final List<SentAttempt> inFlight = new ArrayList<>();
  final List<long[]> loadOrders = new ArrayList<>();
  final List<byte[]> gossipSent = new ArrayList<>();
  final Map<Long, HostEntry> listed = new TreeMap<>();

  /** The pools of each host, one bit per pool; empty for a fleet without pools. */
  final Map<Long, Long> pools = new TreeMap<>();

  private final Map<Long, Moment> notReadySince = new HashMap<>();
  private final Map<Long, List<Moment>> attemptTimes = new HashMap<>();
  private final List<Moment> submitTimes = new ArrayList<>();
  private final List<Moment> loadOrderTimes = new ArrayList<>();
  private final List<Moment> successTimes = new ArrayList<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparing(Timer::when).thenComparing(Timer::order));
  private int timerCount;
  private long nextInvocation;
  private Moment now;

  ScriptedFleet(Deployment deployment, int hosts) {
    this(deployment, hosts, new Moment(1_000_000_000));
  }

  ScriptedFleet(Deployment deployment, int hosts, Moment now) {
    this.deployment = deployment;
    this.now = now;
    this.scheduler = new Scheduler(this, deployment, 7);
    for (int i = 0; i < hosts; i++) {
      listed.put(100L + i, entry(100 + i, HostEntry.State.READY, 0));
    }
    scheduler.replaceHosts(new ArrayList<>(listed.values()));
  }

  static Deployment deployment(boolean hostLoadsOnMiss, boolean supportsHedging, int gateways) {
    return deployment(hostLoadsOnMiss, supportsHedging, gateways, 1000);
  }

  static Deployment deployment(
      boolean hostLoadsOnMiss, boolean supportsHedging, int gateways, double objective) {
    List<TriggerType> types =
        List.of(
            type(objective, 3, Effect.IDEMPOTENT, Group.ALL),
                type(objective, 9, Effect.TOKENED, Group.ALL),
            type(objective, 9, Effect.TOKENED, Group.CELL),
                type(objective, 9, Effect.NON_IDEMPOTENT, Group.ALL));
    return new Deployment(
        0,
        gateways,
        0,
        Span.ofMillis(2),
        false,
        types,
        List.of(40.0, 20.0),
        Span.ofMillis(8),
        Span.ZERO,
        0.25,
        Span.ofMillis(17000),
        2,
        Span.ofMillis(1500),
        3,
        true,
        supportsHedging,
        true,
        true,
        true,
        Span.ofMillis(500),
        hostLoadsOnMiss,
        true,
        true,
        true,
        Span.ofMillis(8000),
        Span.ofMillis(10000),
        Span.ofMillis(5000),
        1,
        0.1,
        List.of("waiting"));
  }

  private static TriggerType type(double objective, double value, Effect effect, Group group) {
    return new TriggerType(
        Span.ofMillis(objective), value, effect, group, Span.ofMillis(2000), false);
  }

  HostEntry entry(long host, HostEntry.State state, long startedAt) {
    HostEntry entry =
        new HostEntry(host, (int) (host % 3), (int) (host % 2), 0, state, new Moment(startedAt), 1);
    return pools.isEmpty()
        ? entry
        : new HostEntry(
            host, entry.zone(), entry.cell(), 0, state, entry.startedAt(), 1, pools.get(host));
  }

  // ---- events of the script ----

  ClientInvocation submit(int type, long function, double millisLeft) {
    ClientInvocation submitted = new ClientInvocation();
    submitted.type = type;
    submitted.deadline = now.plus(Span.ofMillis(millisLeft));
    long id = nextInvocation++;
    invocations.put(id, submitted);
    submitTimes.add(now);
    submitted.pool = pools.isEmpty() ? 0 : (int) (id % 3);
    submitted.handle =
        scheduler.submit(
            id,
            new InvocationSpec(
                type,
                0,
                function,
                Span.ofMillis(millisLeft),
                Span.ZERO,
                false,
                400,
                1,
                Span.ofMillis(600),
                false,
                submitted.pool));
    return submitted;
  }

  void endAttempt(SentAttempt attempt, Outcome outcome) {
    endAttempt(attempt, outcome, outcome == Outcome.OK ? 1 : 0);
  }

  void endAttempt(SentAttempt attempt, Outcome outcome, int remark) {
    inFlight.remove(attempt);
    attempt.outcome = outcome;
    ClientInvocation submitted = invocations.get(attempt.invocation);
    if (outcome == Outcome.OK && submitted.answer == null) {
      submitted.answer = "succeeded";
    }
    if (outcome == Outcome.OK) {
      successTimes.add(now);
    }
    submitted.handle.attemptEnded(
        attempt.number,
        outcome,
        now.since(attempt.sentAt),
        submitted.answer != null,
        remark,
        NO_REPORT);
  }

  void disconnectClient(ClientInvocation submitted) {
    if (submitted.answer == null) {
      submitted.answer = "disconnected";
    }
    submitted.handle.clientDisconnected();
  }

  void updateHost(HostEntry entry) {
    HostEntry before = listed.put(entry.host(), entry);
    if (before != null && entry.startedAt().isAfter(before.startedAt())) {
      attemptTimes.remove(entry.host());
    }
    if (entry.state() == HostEntry.State.READY) {
      notReadySince.remove(entry.host());
    } else {
      notReadySince.putIfAbsent(entry.host(), now);
    }
    scheduler.updateHosts(List.of(entry));
  }

  void completeLoadOrder(Outcome outcome) {
    long[] order = loadOrders.remove(0);
    scheduler.loadCompleted(
        order[0], order[1], outcome, Span.ofMillis(600), outcome == Outcome.OK ? 1 : 0);
  }

  /** Drops the recorded events, so that only the scheduler's own state can grow. */
  void clearHistory(long... hosts) {
    removeAnswered();
    submitTimes.clear();
    successTimes.subList(0, Math.max(0, successTimes.size() - 100)).clear();
    attemptTimes.values().forEach(sent -> sent.subList(0, Math.max(0, sent.size() - 10)).clear());
    for (long host : hosts) {
      listed.remove(host);
      notReadySince.remove(host);
      attemptTimes.remove(host);
    }
  }

  void removeAnswered() {
    invocations
        .values()
        .removeIf(
            submitted ->
                submitted.answer != null
                    && submitted.attempts.stream().allMatch(o -> o.outcome != null));
  }

  /** Advances the clock, runs due timers, and times out attempts at their client's timeout. */
  void advance(double millis) {
    Moment until = now.plus(Span.ofMillis(millis));
    while (now.isBefore(until)) {
      now = Moment.earlier(until, now.plus(deployment.tick()));
      while (!timers.isEmpty() && !timers.peek().when().isAfter(now)) {
        timers.poll().then().run();
      }
      for (SentAttempt expired : List.copyOf(inFlight)) {
        if (expired.outcome == null && now.isAfter(invocations.get(expired.invocation).deadline)) {
          endAttempt(expired, Outcome.TIMEOUT);
        }
      }
      for (ClientInvocation submitted : invocations.values()) {
        assertFalse(
            submitted.answer == null
                && now.isAfter(submitted.deadline.plus(deployment.answerSlack())),
            "rule 1: no answer within the client's timeout");
      }
    }
  }

  // ---- actions of the scheduler, checked ----

  @Override
  public Moment now() {
    return now;
  }

  @Override
  public void dispatch(long invocation, long host, Moment abandonAt) {
    ClientInvocation submitted = invocations.get(invocation);
    assertTrue(listed.get(host).serves(submitted.pool), "an attempt outside its pool");
    assertTrue(submitted.answer == null, "rule 1: an attempt after the final answer");
    assertNotNull(listed.get(host));
    assertFalse(notReadySince.containsKey(host), "rule 3: an attempt at a host that is not ready");
    assertTrue(
        submitted.attempts.size() < deployment.attemptLimit(), "more attempts than the limit");
    TriggerType type = deployment.triggerTypes().get(submitted.type);
    SentAttempt first = submitted.firstThatMayHaveRun();
    if (first != null) {
      assertFalse(
          type.effect() == Effect.NON_IDEMPOTENT, "rule 2: a non-idempotent invocation repeated");
      boolean anyInFlight = submitted.attempts.stream().anyMatch(each -> each.outcome == null);
      assertTrue(
          deployment.supportsHedging() || !anyInFlight,
          "rule 2: two attempts in flight without hedging");
      if (type.effect() == Effect.TOKENED) {
        assertTrue(
            now.since(first.sentAt).isShorterThan(type.window()),
            "rule 2: repeated after the idempotency window");
        assertTrue(
            type.group() == Group.ALL || listed.get(first.host).cell() == listed.get(host).cell(),
            "rule 2: repeated outside the group");
      }
    }
    List<Moment> sent = attemptTimes.computeIfAbsent(host, any -> new ArrayList<>());
    sent.add(now);
    HostEntry entry = listed.get(host);
    Span age = now.since(entry.startedAt());
    if (entry.startedAt().micros() > 0 && age.isShorterThan(deployment.slowStartDuration())) {
      double sentInWindow = recent(sent, deployment.overloadWindow());
      long running =
          listed.values().stream().filter(each -> each.state() != HostEntry.State.GONE).count();
      double capacityFraction =
          deployment.slowStartFraction()
              + (1 - deployment.slowStartFraction()) * age.ratioTo(deployment.slowStartDuration());
      double budget =
          deployment.overloadFactor()
              * capacityFraction
              * successTimes.size()
              / 8
              / running
              * deployment.overloadWindow().micros()
              / 1e6;
      assertTrue(sentInWindow <= 1 + budget, "rule 4: more attempts than the slow-start budget");
    }
    SentAttempt attempt = new SentAttempt(invocation, submitted.attempts.size(), host, now);
    submitted.attempts.add(attempt);
    inFlight.add(attempt);
  }

  private double recent(List<Moment> times, Span window) {
    return times.stream().filter(at -> !at.isBefore(now.minus(window))).count();
  }

  @Override
  public void cancel(long invocation, int attempt) {
    SentAttempt cancelled = invocations.get(invocation).attempts.get(attempt);
    if (cancelled.outcome == null) {
      schedule(
          now,
          () -> {
            if (cancelled.outcome == null) {
              endAttempt(cancelled, Outcome.CANCELLED);
            }
          });
    }
  }

  @Override
  public void throttle(long invocation, Span retryAfter) {
    ClientInvocation submitted = invocations.get(invocation);
    TriggerType type = deployment.triggerTypes().get(submitted.type);
    boolean mayHaveRun = submitted.firstThatMayHaveRun() != null;
    assertFalse(
        mayHaveRun
            && (type.effect() == Effect.NON_IDEMPOTENT
                || type.effect() == Effect.TOKENED && type.group() != Group.ALL),
        "rule 2: throttled but may have run");
    answer(submitted, "throttled");
  }

  @Override
  public void fail(long invocation) {
    answer(invocations.get(invocation), "errored");
  }

  private void answer(ClientInvocation submitted, String answer) {
    assertEquals(null, submitted.answer, "rule 1: a second final answer");
    submitted.answer = answer;
  }

  @Override
  public void load(long host, long function, int instances) {
    assertFalse(
        notReadySince.containsKey(host), "rule 3: a load order to a host that is not ready");
    loadOrderTimes.add(now);
    assertTrue(
        recent(loadOrderTimes, deployment.loadOrderWindow())
            <= deployment.loadOrderBurst()
                + deployment.loadOrderShare() * recent(submitTimes, deployment.loadOrderWindow()),
        "rule 5: more load orders than the rate limit");
    loadOrders.add(new long[] {host, function});
  }

  @Override
  public Runnable schedule(Moment when, Runnable then) {
    Timer timer = new Timer(when, timerCount++, then);
    timers.add(timer);
    return () -> timers.remove(timer);
  }

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
  public void sendGossip(int gateway, byte[] message) {
    assertTrue(
        gateway != deployment.index() && gateway < deployment.gateways() && message.length <= 256);
    gossipSent.add(message);
  }

  @Override
  public void broadcastGossip(byte[] message) {}

  @Override
  public void log(String line) {}
}
