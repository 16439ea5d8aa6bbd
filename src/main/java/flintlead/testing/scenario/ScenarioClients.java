package flintlead.testing.scenario;

import flintlead.client.ClientResponse;
import flintlead.client.GatewayClient;
import flintlead.gateway.GatewayConfig;
import flintlead.scheduling.api.TriggerType.Effect;
import flintlead.testing.arrivals.ArrivalProcess;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * The clients of a scenario: their connections, and each invocation with its retries. On the client
 * loop.
 */
final class ScenarioClients {

  private static final Span MIN_RETRY_DELAY = Span.ofMillis(200);
  private static final Span MAX_RETRY_DELAY = Span.ofMillis(1_000);
  private static final Span RECONNECT_DELAY = Span.ofMillis(50);

  /** The time that clients with little of it give, as a share of the latency objective. */
  private static final double SHORT_DEADLINE_SHARE = 0.4;

  /** When a client that cancels does so, as a share of its deadline. */
  private static final double CANCEL_AFTER_SHARE = 0.5;

  private final RunContext context;
  private final List<GatewaySite> sites;
  private final InvocationGenerator generator;
  private final OutcomeRecorder outcomes;

  /** Called with the name of each invoked function. */
  private final Consumer<String> functionObserver;

  /** Chance that depends on what gateways do; kept apart from the traffic's. */
  private final Random connectionRandom;

  private final List<ClientSession> openSessions = new ArrayList<>();
  private final List<ClientAttempt> attempts = new ArrayList<>();

  /** Invocations that may still be attempted or answered. */
  private long unfinished;

  ScenarioClients(
      RunContext context,
      List<GatewaySite> sites,
      InvocationGenerator generator,
      OutcomeRecorder outcomes,
      Consumer<String> functionObserver) {
    this.context = context;
    this.sites = sites;
    this.generator = generator;
    this.outcomes = outcomes;
    this.functionObserver = functionObserver;
    this.connectionRandom = new Random(context.seed + 2);
  }

  /** All attempts so far. */
  List<ClientAttempt> attempts() {
    return attempts;
  }

  /** Whether the traffic has ended and no response is outstanding. */
  boolean isIdle() {
    return context.isEnding()
        && unfinished == 0
        && sites.stream()
            .flatMap(site -> site.sessions.stream())
            .allMatch(session -> session.pending.isEmpty());
  }

  // ---- connections ----

  /** Connects the scenario's number of clients to a gateway. */
  void connect(GatewaySite site) {
    for (int i = 0; i < context.scenario.connections(); i++) {
      ClientSession session = new ClientSession(site);
      site.sessions.add(session);
      open(session);
    }
  }

  /** Reopens the sessions with a gateway that has come back. */
  void reconnect(GatewaySite site) {
    site.sessions.stream().filter(session -> !session.open).forEach(this::open);
  }

  private void open(ClientSession session) {
    if (context.isEnding() && session.pending.isEmpty() || !session.site.up) {
      return;
    }
    session.open = true;
    openSessions.add(session);
    session.client =
        GatewayClient.connect(
            context.clientLoop,
            session.site.clientAddress,
            () -> {
              session.open = false;
              openSessions.remove(session);
              context.clientLoop.scheduleAfter(RECONNECT_DELAY, () -> open(session));
            });
  }

  /** A gateway is about to be killed: what is pending there is owed no response. */
  void gatewayKilled(GatewaySite site) {
    site.up = false;
    openSessions.removeAll(site.sessions);
    site.sessions.forEach(ClientSession::exemptPending);
  }

  /** A random share of the clients of a gateway closes its connections. */
  void hangUp(GatewaySite site, double fraction) {
    site.sessions.forEach(
        session -> {
          if (session.open && generator.draw(fraction)) {
            session.exemptPending();
            session.client.close();
          }
        });
  }

  /** A random share of the clients of a gateway stops reading responses for a time. */
  void stopReading(GatewaySite site, double fraction, Span duration) {
    site.sessions.stream()
        .filter(session -> session.open && generator.draw(fraction))
        .forEach(session -> stopReading(session, duration));
  }

  /**
   * A response that is late or missing because the client does not read is not the gateway's fault.
   */
  private void stopReading(ClientSession session, Span duration) {
    GatewayClient client = session.client;
    session.stalledClient = client;
    session.exemptPending();
    client.setReading(false);
    context.clientLoop.scheduleAfter(
        duration,
        () -> {
          // By the client, not the session: it may have closed meanwhile, and its successor be
          // stalled itself.
          if (session.stalledClient == client) {
            session.stalledClient = null;
          }
          if (session.open && session.client == client) {
            client.setReading(true);
          }
        });
  }

  // ---- traffic ----

  /** Begins the traffic, which lasts as long as the scenario says; then marks the run as ending. */
  void startTraffic() {
    Moment begin = context.clientLoop.now();
    scheduleNextArrival(begin, begin.plus(context.scenario.duration()));
  }

  /** Arrivals are drawn one after the other, whatever becomes of those before. */
  private void scheduleNextArrival(Moment begin, Moment until) {
    ArrivalProcess.Arrival arrival = generator.nextArrival();
    Moment at = arrival == null ? until : begin.plus(arrival.at());
    context.clientLoop.scheduleAt(
        Moment.later(context.clientLoop.now(), at),
        () -> {
          if (arrival == null || at.isAfter(until)) {
            context.markEnding();
            return;
          }
          invoke(arrival);
          scheduleNextArrival(begin, until);
        });
  }

  private void invoke(ArrivalProcess.Arrival arrival) {
    PlannedInvocation invocation = generator.draw(arrival, context.clientLoop.now());
    functionObserver.accept(invocation.function());
    outcomes.requested(invocation);
    unfinished++;
    attempt(invocation, 0);
  }

  /** Makes one attempt, after so many before it. */
  private void attempt(PlannedInvocation invocation, int before) {
    if (openSessions.isEmpty()) {
      finish(invocation, null, before + 1, ClientResponse.Status.LOST);
      return;
    }
    ClientSession session = openSessions.get(connectionRandom.nextInt(openSessions.size()));
    GatewayConfig.Trigger trigger = invocation.trigger();
    Span timeout =
        invocation.shortDeadline()
            ? trigger.latencyObjective().times(SHORT_DEADLINE_SHARE)
            : trigger.clientTimeout();
    ClientAttempt attempt =
        new ClientAttempt(
            session.site.name,
            trigger.name(),
            invocation.idempotencyKey(),
            context.clientLoop.now(),
            timeout,
            invocation.firstSentAt());
    attempt.exempt = session.isStalled();
    attempts.add(attempt);
    session.pending.add(attempt);
    send(invocation, attempt, session, before);
  }

  private void send(
      PlannedInvocation invocation, ClientAttempt attempt, ClientSession session, int before) {
    GatewayClient client = session.client;
    long id =
        client.invoke(
            invocation.function(),
            attempt.triggerType,
            null,
            attempt.timeout,
            attempt.token,
            payload(invocation),
            before > 0,
            reply -> {
              attempt.responses.add(
                  new ClientAttempt.ReceivedResponse(
                      reply.status(), reply.mayHaveRun(), context.clientLoop.now()));
              session.pending.remove(attempt);
              answered(invocation, attempt, reply, before);
            });
    if (invocation.shortDeadline() && invocation.cancels()) {
      context.clientLoop.scheduleAfter(
          attempt.timeout.times(CANCEL_AFTER_SHARE), () -> client.cancel(id));
    }
  }

  private static byte[] payload(PlannedInvocation invocation) {
    String json =
        "{\"token\":\""
            + invocation.idempotencyKey()
            + "\",\"workMs\":"
            + (float) invocation.workMs()
            + "}";
    return json.getBytes(StandardCharsets.US_ASCII);
  }

  private void answered(
      PlannedInvocation invocation, ClientAttempt attempt, ClientResponse reply, int before) {
    boolean mayRetry =
        reply.status() == ClientResponse.Status.THROTTLED
            || reply.status() != ClientResponse.Status.SUCCEEDED
                && invocation.trigger().effect() == Effect.IDEMPOTENT;
    if (mayRetry && before < context.scenario.retries() && !context.isEnding()) {
      Span delay = Span.shorter(MAX_RETRY_DELAY, Span.longer(MIN_RETRY_DELAY, reply.retryAfter()));
      context.clientLoop.scheduleAfter(delay, () -> attempt(invocation, before + 1));
    } else {
      finish(invocation, attempt.gateway, before + 1, reply.status());
    }
  }

  private void finish(
      PlannedInvocation invocation, String gateway, int attemptsMade, ClientResponse.Status kind) {
    unfinished--;
    outcomes.finished(invocation, gateway, attemptsMade, kind, context.clientLoop.now());
  }

  /**
   * The longest that one attempt with its retries can take: bounds how long a run waits for its
   * end.
   */
  static Span maxDuration(Scenario scenario) {
    long longestMicros =
        scenario.gatewayConfig().triggerTypes().stream()
            .mapToLong(each -> each.clientTimeout().micros())
            .max()
            .orElse(0);
    return new Span(longestMicros).plus(MAX_RETRY_DELAY).times(1 + scenario.retries());
  }
}
