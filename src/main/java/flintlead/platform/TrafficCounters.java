package flintlead.platform;

import flintlead.platform.downstream.CloseCause;
import flintlead.platform.downstream.HttpFront;
import flintlead.routing.guard.Invariant;
import flintlead.routing.guard.InvariantMonitor;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.lease.RefusalReason;
import flintlead.time.Span;
import flintlead.transport.fair.LoopActivity;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;

/** Counts events since the last summary, and logs the summary. Used on the event loop only. */
final class TrafficCounters implements HttpFront.Events {

  private static final Outcome[] OUTCOMES = Outcome.values();
  private static final String[] OUTCOME_KEYS = new String[OUTCOMES.length];

  static {
    for (Outcome outcome : OUTCOMES) {
      OUTCOME_KEYS[outcome.ordinal()] = "attempts_" + outcome.name().toLowerCase(Locale.ROOT);
    }
  }

  private final int[] attempts = new int[OUTCOMES.length];
  private int submitted;
  private int throttled;
  private int errored;
  private int clientDisconnects;
  private final Map<RejectReason, Integer> rejections = new EnumMap<>(RejectReason.class);
  private final Map<CloseCause, Integer> closes = new EnumMap<>(CloseCause.class);
  private int closedByClients;

  /** Requests that invoked nothing, by the HTTP status of their response. */
  private final Map<Integer, Integer> answeredWithoutInvocation = new TreeMap<>();

  private int partialRequestsRefused;
  private int stalls;
  private Span longestStall = Span.ZERO;

  /** An invocation was accepted. */
  void submitted() {
    submitted++;
  }

  /** The scheduler throttled an invocation. */
  void throttled() {
    throttled++;
  }

  /** The scheduler failed an invocation. */
  void errored() {
    errored++;
  }

  /** A client disconnected before its response. */
  void clientDisconnected() {
    clientDisconnects++;
  }

  /** An attempt ended. */
  void attemptEnded(Outcome outcome) {
    attempts[outcome.ordinal()]++;
  }

  /** An invocation was rejected before it was submitted to the scheduler. */
  void rejected(RejectReason reason) {
    rejections.merge(reason, 1, Integer::sum);
  }

  /** The gateway closed or refused a client's connection. */
  @Override
  public void connectionClosed(CloseCause cause) {
    closes.merge(cause, 1, Integer::sum);
  }

  /** A client closed its connection. */
  @Override
  public void closedByClient() {
    closedByClients++;
  }

  @Override
  public void answeredWithoutInvocation(int status) {
    answeredWithoutInvocation.merge(status, 1, Integer::sum);
  }

  @Override
  public void partialRequestRefused() {
    partialRequestsRefused++;
  }

  /** The process was stalled: it did not poll its sockets for that long. */
  void recordStall(Span length) {
    stalls++;
    longestStall = Span.longer(longestStall, length);
  }

  /** Counts and gauges that other components provide. */
  record State(
      int open,
      int hostConnections,
      int deferredSends,
      int unrequestedResponses,
      Map<RefusalReason, Integer> refusals,
      LoopActivity activity,
      InvariantMonitor invariants) {}

  /**
   * Logs {@code traffic_summary} unless there were no invocations and no violations, and resets the
   * counters.
   */
  void logAndReset(Logger log, State state) {
    boolean quiet =
        submitted == 0
            && rejections.isEmpty()
            && partialRequestsRefused == 0
            && state.activity.cutTurns() == 0
            && state.invariants.total() == 0;
    if (!quiet) {
      log(log, state);
    }
    Arrays.fill(attempts, 0);
    submitted = 0;
    throttled = 0;
    errored = 0;
    clientDisconnects = 0;
    closedByClients = 0;
    partialRequestsRefused = 0;
    rejections.clear();
    closes.clear();
    answeredWithoutInvocation.clear();
    stalls = 0;
    longestStall = Span.ZERO;
  }

  private void log(Logger log, State state) {
    LoggingEventBuilder event =
        log.atInfo()
            .addKeyValue("submitted", submitted)
            .addKeyValue("throttled", throttled)
            .addKeyValue("errored", errored)
            .addKeyValue("client_disconnects", clientDisconnects)
            .addKeyValue("open", state.open)
            .addKeyValue("host_connections", state.hostConnections)
            .addKeyValue("max_loop_delay_ms", longestStall.micros() / 1000);
    event = addIfAny(event, "standstills", stalls);
    event = addActivity(event, state.activity);
    event = addIfAny(event, "deferred_sends", state.deferredSends);
    event = addIfAny(event, "unrequested_responses", state.unrequestedResponses);
    event = addIfAny(event, "clients_left", closedByClients);
    for (Map.Entry<Integer, Integer> answers : answeredWithoutInvocation.entrySet()) {
      event = addIfAny(event, "answered_early_" + answers.getKey(), answers.getValue());
    }
    event = addIfAny(event, "partial_requests_refused", partialRequestsRefused);
    for (Map.Entry<RejectReason, Integer> rejection : rejections.entrySet()) {
      event = addIfAny(event, rejection.getKey().key(), rejection.getValue());
    }
    for (Map.Entry<CloseCause, Integer> close : closes.entrySet()) {
      event = addIfAny(event, close.getKey().key(), close.getValue());
    }
    for (Outcome outcome : OUTCOMES) {
      event = addIfAny(event, OUTCOME_KEYS[outcome.ordinal()], attempts[outcome.ordinal()]);
    }
    for (Map.Entry<RefusalReason, Integer> refusal : state.refusals.entrySet()) {
      event = addIfAny(event, refusal.getKey().key(), refusal.getValue());
    }
    for (Invariant invariant : Invariant.values()) {
      event = addIfAny(event, "violated_" + invariant.key(), state.invariants.count(invariant));
    }
    event.log("traffic_summary");
  }

  private static LoggingEventBuilder addActivity(
      LoggingEventBuilder before, LoopActivity activity) {
    LoggingEventBuilder event = before;
    event = addIfAny(event, "longest_turn_ms", activity.longestTurn().micros() / 1000);
    event = addIfAny(event, "cut_turns", activity.cutTurns());
    if (activity.cutTurns() > 0) {
      event =
          event
              .addKeyValue("busiest_peer", activity.busiestPeer())
              .addKeyValue("busiest_group", activity.busiestGroup())
              .addKeyValue("busiest_peer_ms", activity.busiestPeerTime().micros() / 1000);
    }
    return event;
  }

  private static LoggingEventBuilder addIfAny(LoggingEventBuilder event, String key, long count) {
    return count > 0 ? event.addKeyValue(key, count) : event;
  }
}
