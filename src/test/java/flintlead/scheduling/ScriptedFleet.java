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
  static final class Out {
    final long inv;
    final int number;
    final long host;
    final Moment at;
    Outcome outcome;

    Out(long inv, int number, long host, Moment at) {
      this.inv = inv;
      this.number = number;
      this.host = host;
      this.at = at;
    }
  }

  /** One submitted invocation as its client sees it. */
  static final class Taken {
    int pool;
    int type;
    Moment deadline;
    InvocationHandle handle;
    String answer;
    final List<Out> outs = new ArrayList<>();

    Out firstThatMayHaveRun() {
      return outs.stream()
          .filter(out -> out.outcome == null || out.outcome.mayHaveRun())
          .findFirst()
          .orElse(null);
    }
  }

  private record Timer(Moment when, int order, Runnable then) {}

  final Deployment facts;
  final Scheduler scheduler;
  final Map<Long, Taken> invs = new TreeMap<>();
  final List<Out> out = new ArrayList<>();
  final List<long[]> orders = new ArrayList<>();
  final List<byte[]> told = new ArrayList<>();
  final Map<Long, HostEntry> listed = new TreeMap<>();

  /** The pools of each host, one bit per pool; empty for a fleet without pools. */
  final Map<Long, Long> pools = new TreeMap<>();

  private final Map<Long, Moment> closedAt = new HashMap<>();
  private final Map<Long, List<Moment>> sentTo = new HashMap<>();
  private final List<Moment> takenAt = new ArrayList<>();
  private final List<Moment> orderedAt = new ArrayList<>();
  private final List<Moment> okAt = new ArrayList<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparing(Timer::when).thenComparing(Timer::order));
  private int timerCount;
  private long nextInv;
  private Moment now;

  ScriptedFleet(Deployment facts, int hosts) {
    this(facts, hosts, new Moment(1_000_000_000));
  }

  ScriptedFleet(Deployment facts, int hosts, Moment now) {
    this.facts = facts;
    this.now = now;
    this.scheduler = new Scheduler(this, facts, 7);
    for (int i = 0; i < hosts; i++) {
      listed.put(100L + i, entry(100 + i, HostEntry.State.READY, 0));
    }
    scheduler.replaceHosts(new ArrayList<>(listed.values()));
  }

  static Deployment facts(boolean loadsWhenAbsent, boolean secondCopies, int gateways) {
    return facts(loadsWhenAbsent, secondCopies, gateways, 1000);
  }

  static Deployment facts(
      boolean loadsWhenAbsent, boolean secondCopies, int gateways, double objective) {
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
        secondCopies,
        true,
        true,
        true,
        Span.ofMillis(500),
        loadsWhenAbsent,
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

  Taken take(int type, long fn, double millisLeft) {
    Taken taken = new Taken();
    taken.type = type;
    taken.deadline = now.plus(Span.ofMillis(millisLeft));
    long id = nextInv++;
    invs.put(id, taken);
    takenAt.add(now);
    taken.pool = pools.isEmpty() ? 0 : (int) (id % 3);
    taken.handle =
        scheduler.submit(
            id,
            new InvocationSpec(
                type,
                0,
                fn,
                Span.ofMillis(millisLeft),
                Span.ZERO,
                false,
                400,
                1,
                Span.ofMillis(600),
                false,
                taken.pool));
    return taken;
  }

  void end(Out dispatch, Outcome outcome) {
    end(dispatch, outcome, outcome == Outcome.OK ? 1 : 0);
  }

  void end(Out dispatch, Outcome outcome, int remark) {
    out.remove(dispatch);
    dispatch.outcome = outcome;
    Taken taken = invs.get(dispatch.inv);
    if (outcome == Outcome.OK && taken.answer == null) {
      taken.answer = "succeeded";
    }
    if (outcome == Outcome.OK) {
      okAt.add(now);
    }
    taken.handle.attemptEnded(
        dispatch.number, outcome, now.since(dispatch.at), taken.answer != null, remark, NO_REPORT);
  }

  void hangUp(Taken taken) {
    if (taken.answer == null) {
      taken.answer = "disconnected";
    }
    taken.handle.clientDisconnected();
  }

  void list(HostEntry entry) {
    HostEntry before = listed.put(entry.host(), entry);
    if (before != null && entry.startedAt().isAfter(before.startedAt())) {
      sentTo.remove(entry.host());
    }
    if (entry.state() == HostEntry.State.READY) {
      closedAt.remove(entry.host());
    } else {
      closedAt.putIfAbsent(entry.host(), now);
    }
    scheduler.updateHosts(List.of(entry));
  }

  void answerOrder(Outcome outcome) {
    long[] order = orders.remove(0);
    scheduler.loadCompleted(
        order[0], order[1], outcome, Span.ofMillis(600), outcome == Outcome.OK ? 1 : 0);
  }

  /** Drops the recorded events, so that only the scheduler's own state can grow. */
  void forgetPast(long... hosts) {
    forgetAnswered();
    takenAt.clear();
    okAt.subList(0, Math.max(0, okAt.size() - 100)).clear();
    sentTo.values().forEach(sent -> sent.subList(0, Math.max(0, sent.size() - 10)).clear());
    for (long host : hosts) {
      listed.remove(host);
      closedAt.remove(host);
      sentTo.remove(host);
    }
  }

  void forgetAnswered() {
    invs.values()
        .removeIf(
            taken -> taken.answer != null && taken.outs.stream().allMatch(o -> o.outcome != null));
  }

  /** Advances the clock, runs due timers, and times out attempts at their client's timeout. */
  void pass(double millis) {
    Moment until = now.plus(Span.ofMillis(millis));
    while (now.isBefore(until)) {
      now = Moment.earlier(until, now.plus(facts.tick()));
      while (!timers.isEmpty() && !timers.peek().when().isAfter(now)) {
        timers.poll().then().run();
      }
      for (Out late : List.copyOf(out)) {
        if (late.outcome == null && now.isAfter(invs.get(late.inv).deadline)) {
          end(late, Outcome.TIMEOUT);
        }
      }
      for (Taken taken : invs.values()) {
        assertFalse(
            taken.answer == null && now.isAfter(taken.deadline.plus(facts.answerSlack())),
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
    Taken taken = invs.get(invocation);
    assertTrue(listed.get(host).serves(taken.pool), "an attempt outside its pool");
    assertTrue(taken.answer == null, "rule 1: an attempt after the final answer");
    assertNotNull(listed.get(host));
    assertFalse(closedAt.containsKey(host), "rule 3: an attempt at a host that is not ready");
    assertTrue(taken.outs.size() < facts.attemptLimit(), "more attempts than the limit");
    TriggerType type = facts.triggerTypes().get(taken.type);
    Out first = taken.firstThatMayHaveRun();
    if (first != null) {
      assertFalse(
          type.effect() == Effect.NON_IDEMPOTENT, "rule 2: a non-idempotent invocation repeated");
      boolean anyOut = taken.outs.stream().anyMatch(each -> each.outcome == null);
      assertTrue(
          facts.supportsHedging() || !anyOut, "rule 2: two attempts in flight without hedging");
      if (type.effect() == Effect.TOKENED) {
        assertTrue(
            now.since(first.at).isShorterThan(type.window()),
            "rule 2: repeated after the idempotency window");
        assertTrue(
            type.group() == Group.ALL || listed.get(first.host).cell() == listed.get(host).cell(),
            "rule 2: repeated outside the group");
      }
    }
    List<Moment> sent = sentTo.computeIfAbsent(host, any -> new ArrayList<>());
    sent.add(now);
    HostEntry entry = listed.get(host);
    Span age = now.since(entry.startedAt());
    if (entry.startedAt().micros() > 0 && age.isShorterThan(facts.slowStartDuration())) {
      double sentCold = recent(sent, facts.overloadWindow());
      long running =
          listed.values().stream().filter(each -> each.state() != HostEntry.State.GONE).count();
      double part =
          facts.slowStartFraction()
              + (1 - facts.slowStartFraction()) * age.over(facts.slowStartDuration());
      double budget =
          facts.overloadFactor()
              * part
              * okAt.size()
              / 8
              / running
              * facts.overloadWindow().micros()
              / 1e6;
      assertTrue(sentCold <= 1 + budget, "rule 4: more attempts than the slow-start budget");
    }
    Out dispatch = new Out(invocation, taken.outs.size(), host, now);
    taken.outs.add(dispatch);
    out.add(dispatch);
  }

  private double recent(List<Moment> times, Span window) {
    return times.stream().filter(at -> !at.isBefore(now.minus(window))).count();
  }

  @Override
  public void cancel(long invocation, int dispatch) {
    Out cancelled = invs.get(invocation).outs.get(dispatch);
    if (cancelled.outcome == null) {
      schedule(
          now,
          () -> {
            if (cancelled.outcome == null) {
              end(cancelled, Outcome.CANCELLED);
            }
          });
    }
  }

  @Override
  public void throttle(long invocation, Span retryIn) {
    Taken taken = invs.get(invocation);
    TriggerType type = facts.triggerTypes().get(taken.type);
    boolean mayHaveRun = taken.firstThatMayHaveRun() != null;
    assertFalse(
        mayHaveRun
            && (type.effect() == Effect.NON_IDEMPOTENT
                || type.effect() == Effect.TOKENED && type.group() != Group.ALL),
        "rule 2: throttled but may have run");
    answer(taken, "throttled");
  }

  @Override
  public void fail(long invocation) {
    answer(invs.get(invocation), "errored");
  }

  private void answer(Taken taken, String answer) {
    assertEquals(null, taken.answer, "rule 1: a second final answer");
    taken.answer = answer;
  }

  @Override
  public void load(long host, long function, int copies) {
    assertFalse(closedAt.containsKey(host), "rule 3: a load order to a host that is not ready");
    orderedAt.add(now);
    assertTrue(
        recent(orderedAt, facts.loadOrderWindow())
            <= facts.loadOrderBurst()
                + facts.loadOrderShare() * recent(takenAt, facts.loadOrderWindow()),
        "rule 5: more load orders than the rate limit");
    orders.add(new long[] {host, function});
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
  public void sendGossip(int gateway, byte[] words) {
    assertTrue(gateway != facts.index() && gateway < facts.gateways() && words.length <= 256);
    told.add(words);
  }

  @Override
  public void broadcastGossip(byte[] words) {}

  @Override
  public void log(String line) {}
}
