package flintlead.testing.scenario;

import flintlead.client.ClientResponse;
import flintlead.gateway.GatewayConfig;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Counts how invocations ended for their clients, and the billed value of those answered in time.
 * On the client loop.
 */
final class OutcomeRecorder {

  private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int HISTOGRAM_DIGITS = 3;

  private final RunContext context;
  private final Map<String, ScenarioResult.TypeResult> types = new LinkedHashMap<>();

  /** Of invocations that succeeded, in microseconds by trigger type. */
  private final Map<String, Histogram> latency = new HashMap<>();

  private double billedValue;
  private double valueInTime;

  /** Null where nothing is recorded beyond the counts. */
  private EventRecorder recorder;

  OutcomeRecorder(RunContext context) {
    this.context = context;
    for (GatewayConfig.Trigger trigger : context.scenario.gatewayConfig().triggerTypes()) {
      types.put(trigger.name(), new ScenarioResult.TypeResult());
      latency.put(trigger.name(), new Histogram(MAX_LATENCY_MICROS, HISTOGRAM_DIGITS));
    }
  }

  void recordTo(EventRecorder target) {
    recorder = target;
  }

  /** Null where nothing is recorded beyond the counts. */
  EventRecorder recorder() {
    return recorder;
  }

  /** A client makes its first attempt. */
  void requested(PlannedInvocation invocation) {
    if (invocation.counted()) {
      types.get(invocation.trigger().name()).asked++;
      billedValue += invocation.trigger().billedValue();
    }
  }

  /**
   * The client makes no further attempt.
   *
   * @param gateway of the last attempt; null where none could be reached
   * @param kind of the last response
   */
  void finished(
      PlannedInvocation invocation,
      String gateway,
      int attempts,
      ClientResponse.Status kind,
      Moment now) {
    Span took = now.since(invocation.firstSentAt());
    EventRecorder.Completion end = completion(invocation, kind, took);
    if (recorder != null) {
      recorder.add(
          new EventRecorder.InvocationRecord(
              invocation.firstSentAt().since(context.startedAt()),
              invocation.function(),
              invocation.trigger().name(),
              gateway,
              attempts,
              end,
              took,
              invocation.workMs()));
    }
    if (invocation.counted()) {
      count(invocation, kind, end, took);
    }
  }

  private static EventRecorder.Completion completion(
      PlannedInvocation invocation, ClientResponse.Status kind, Span took) {
    return switch (kind) {
      case SUCCEEDED ->
          took.isLongerThan(invocation.trigger().latencyObjective())
              ? EventRecorder.Completion.LATE
              : EventRecorder.Completion.IN_OBJECTIVE;
      case THROTTLED -> EventRecorder.Completion.THROTTLED;
      case LOST -> EventRecorder.Completion.LOST;
      default -> EventRecorder.Completion.ERRORED;
    };
  }

  private void count(
      PlannedInvocation invocation,
      ClientResponse.Status kind,
      EventRecorder.Completion end,
      Span took) {
    ScenarioResult.TypeResult type = types.get(invocation.trigger().name());
    if (kind == ClientResponse.Status.SUCCEEDED) {
      latency
          .get(invocation.trigger().name())
          .recordValue(Math.min(took.micros(), MAX_LATENCY_MICROS));
    }
    switch (end) {
      case IN_OBJECTIVE -> {
        type.inObjective++;
        valueInTime += invocation.trigger().billedValue();
      }
      case LATE -> type.late++;
      case THROTTLED -> type.throttled++;
      case LOST -> type.lost++;
      default -> type.errored++;
    }
  }

  /** The counts by trigger type, with their percentiles. */
  Map<String, ScenarioResult.TypeResult> types() {
    types.forEach(
        (name, type) -> {
          type.p50Ms = latency.get(name).getValueAtPercentile(50) / 1000;
          type.p99Ms = latency.get(name).getValueAtPercentile(99) / 1000;
        });
    return types;
  }

  /** Of the billed value, the share that was answered within the latency objective. */
  double shareOfValueInTime() {
    return billedValue == 0 ? 0 : valueInTime / billedValue;
  }
}
