package flintlead.testing.soak;

import flintlead.testing.soak.Breach.Invariant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Judges a soak by what clients and hosts recorded. Slack is the protocol's; beyond it only a
 * standstill of the gateway excuses, and a kill that nobody announced.
 */
final class SoakOracle {

  private static final long MILLIS = 1_000_000L;

  /** An answer may come this long after the request's time. */
  private static final long ANSWER_SLACK = 500 * MILLIS;

  /** An attempt may begin this long after its client has gone. */
  private static final long ATTEMPT_SLACK = 100 * MILLIS;

  private static final long DEADLINE_SLACK_MILLIS = 150;

  /** What the rig itself may be late by. */
  private static final long RIG_SLACK = 20 * MILLIS;

  /** A request written this shortly before the announced SIGKILL can't be answered. */
  private static final long KILL_SLACK = 100 * MILLIS;

  /** After a standstill a gateway has this long to answer what lay there. */
  private static final long RECOVERY = 300 * MILLIS;

  /** What the journal can't tell counts as told after this long. */
  private static final long JOURNAL_GRACE = 4_000 * MILLIS;

  /** Probes that a host may get in a second, beside what each gateway has saved up. */
  private static final int PROBES_PER_SECOND = 24;

  private static final int PROBES_SAVED_UP = 2;

  /** What a gateway reports of an attempt that left later than it was checked. */
  private static final Pattern OVERTAKEN_REPORT =
      Pattern.compile(
          "client_seen_before_attempt|deadline_not_extended|no_attempt_after_end|lease_before_new_work");

  private final SoakPlan plan;
  private final SoakRecords records;
  private final long drainGraceNanos;
  private final long windowNanos;
  private final List<Breach> breaches = new ArrayList<>();

  /** The one attempt that each standstill may have overtaken between its check and its sending. */
  private final Map<GatewayEvent, String> overtaken = new HashMap<>();

  private final Map<Integer, List<GatewayEvent>> events = new HashMap<>();
  private final Map<String, List<HostAttemptRecord>> attempts = new HashMap<>();

  SoakOracle(SoakPlan plan, SoakRecords records) {
    this.plan = plan;
    this.records = records;
    this.drainGraceNanos = SoakConfiguration.DRAIN_GRACE_MILLIS * MILLIS;
    this.windowNanos = SoakConfiguration.WINDOW_MILLIS * MILLIS;
    records.gatewayEvents.forEach(
        event -> events.computeIfAbsent(event.gateway(), key -> new ArrayList<>()).add(event));
    records.attempts.forEach(
        attempt -> attempts.computeIfAbsent(attempt.id(), key -> new ArrayList<>()).add(attempt));
    attempts
        .values()
        .forEach(all -> all.sort(Comparator.comparingLong(HostAttemptRecord::atNanos)));
  }

  /** Every break of an invariant. */
  List<Breach> judge() {
    for (ClientRequest request : records.requests) {
      if (request.sentAt != ClientRequest.NEVER) {
        judgeAnswer(request);
        judgeAttempts(request);
      }
    }
    records.gatewayEvents.forEach(this::judgeGateway);
    records.drains.forEach(this::judgeDrain);
    judgeProbes();
    return breaches;
  }

  // ---- answers ----

  private void judgeAnswer(ClientRequest request) {
    for (String fault : request.faults) {
      breach(Invariant.ONE_WHOLE_RIGHT_ANSWER, request, fault);
    }
    if (request.isAnswered()) {
      boolean wrong = request.status == 200 && !request.answerBody.equals(request.body);
      if (wrong) {
        breach(Invariant.ONE_WHOLE_RIGHT_ANSWER, request, "answered with another body");
      } else if (request.status == 200 && !attempts.containsKey(request.id)) {
        breach(Invariant.ONE_WHOLE_RIGHT_ANSWER, request, "served, and no host has seen it");
      }
    }
    long latest = request.deadline() + ANSWER_SLACK + RIG_SLACK;
    if (request.leftAt <= latest && !request.isAnswered() && request.closedAt > request.leftAt) {
      return;
    }
    if (request.closedAt != ClientRequest.NEVER && !request.isAnswered()) {
      if (!request.resent && !isKilled(request, request.closedAt)) {
        breach(Invariant.NO_CLOSE_WITHOUT_ANSWER, request, "closed with no answer");
      }
    } else if (request.answeredAt > latest + standstill(request, latest)
        && !isKilled(request, latest)) {
      breach(Invariant.ANSWER_IN_TIME, request, "no answer in time");
    }
  }

  /** What standstills of its gateway add to the time that an answer may take. */
  private long standstill(ClientRequest request, long latest) {
    long allowance = 0;
    for (GatewayEvent event : eventsOf(request.gateway)) {
      boolean during = event.overlaps(request.sentAt, latest + allowance);
      if (event.kind() == GatewayEvent.Kind.STANDSTILL && during) {
        allowance = Math.max(allowance, event.endNanos() + RECOVERY - latest);
      }
    }
    return allowance;
  }

  /** Whether a kill takes its answer: without notice any, after SIGTERM only the very latest. */
  private boolean isKilled(ClientRequest request, long until) {
    for (GatewayEvent event : eventsOf(request.gateway)) {
      boolean during = event.overlaps(request.sentAt, until + RIG_SLACK);
      boolean late =
          request.sentAt > event.startNanos() - KILL_SLACK
              || standsStillBefore(request, event.startNanos());
      if (during
          && (event.kind() == GatewayEvent.Kind.KILLED
              || event.kind() == GatewayEvent.Kind.KILLED_AFTER_TERM && late)) {
        return true;
      }
    }
    return false;
  }

  /** Whether the gateway stood still from the request on until shortly before that time. */
  private boolean standsStillBefore(ClientRequest request, long untilNanos) {
    return eventsOf(request.gateway).stream()
        .anyMatch(
            event ->
                event.kind() == GatewayEvent.Kind.STANDSTILL
                    && event.overlaps(request.sentAt, untilNanos)
                    && event.endNanos() + RECOVERY > untilNanos);
  }

  private List<GatewayEvent> eventsOf(int gateway) {
    return events.getOrDefault(gateway, List.of());
  }

  // ---- attempts ----

  private void judgeAttempts(ClientRequest request) {
    List<HostAttemptRecord> all = attempts.getOrDefault(request.id, List.of());
    for (HostAttemptRecord attempt : all) {
      List<Breach> late = lateness(request, attempt);
      if (!late.isEmpty() && !isOvertaken(request, attempt)) {
        breaches.addAll(late);
      }
      if (!attempt.body().equals(request.body)
          || !attempt.trigger().equals(request.trigger.wireName())) {
        breach(Invariant.ONE_WHOLE_RIGHT_ANSWER, request, "forwarded with another body or class");
      }
    }
    if (request.trigger != TriggerKind.CHECK) {
      judgeEffects(request, all);
    }
  }

  /** What is wrong with when the attempt began, and with the time that its host was given. */
  private List<Breach> lateness(ClientRequest request, HostAttemptRecord attempt) {
    List<Breach> found = new ArrayList<>();
    long late = attempt.atNanos() - request.endedAt();
    boolean ended = request.endedAt() != ClientRequest.NEVER;
    if (ended && late > ATTEMPT_SLACK + RIG_SLACK && !isHeldMeanwhile(request, attempt)) {
      String what = "an attempt began " + late / MILLIS + " ms after the end";
      found.add(new Breach(Invariant.NO_ATTEMPT_AFTER_END, request.id, what + timeline(request)));
    }
    long left = (request.deadline() - attempt.sentNanos()) / MILLIS;
    if (attempt.limitMillis() > left + DEADLINE_SLACK_MILLIS + RIG_SLACK / MILLIS) {
      String what = "a host was given " + attempt.limitMillis() + " ms of " + left;
      found.add(new Breach(Invariant.DEADLINE_NOT_EXTENDED, request.id, what + timeline(request)));
    }
    return found;
  }

  /**
   * Whether a standstill came between the check of the attempt and its system call: its request had
   * come before, and it left right afterwards. No program can close that gap; one attempt of each
   * standstill may fall into it.
   */
  private boolean isOvertaken(ClientRequest request, HostAttemptRecord attempt) {
    for (GatewayEvent event : eventsOf(request.gateway)) {
      boolean between =
          event.kind() == GatewayEvent.Kind.STANDSTILL
              && request.sentAt < event.startNanos() + RIG_SLACK
              && attempt.sentNanos() >= event.startNanos()
              && attempt.sentNanos() < event.endNanos() + RIG_SLACK;
      if (between) {
        String first = overtaken.putIfAbsent(event, attempt.id());
        return first == null || first.equals(attempt.id());
      }
    }
    return false;
  }

  /**
   * Whether the attempt had left in time, the network held it, and the gateway stood still from the
   * end on: it could not take it back.
   */
  private boolean isHeldMeanwhile(ClientRequest request, HostAttemptRecord attempt) {
    return attempt.sentNanos() <= request.endedAt() + ATTEMPT_SLACK
        && eventsOf(request.gateway).stream()
            .anyMatch(
                event ->
                    event.kind() == GatewayEvent.Kind.STANDSTILL
                        && event.startNanos() <= request.endedAt() + ATTEMPT_SLACK
                        && event.endNanos() + ATTEMPT_SLACK >= attempt.atNanos());
  }

  private void judgeEffects(ClientRequest request, List<HostAttemptRecord> all) {
    List<HostAttemptRecord> mayHaveRun =
        all.stream()
            .filter(
                attempt ->
                    !records.provenNotRun.contains(
                        SoakRecords.attemptKey(attempt.id(), attempt.host(), attempt.atNanos())))
            .toList();
    if (mayHaveRun.size() < 2) {
      return;
    }
    long apart = mayHaveRun.get(mayHaveRun.size() - 1).atNanos() - mayHaveRun.get(0).atNanos();
    boolean keyed = request.trigger == TriggerKind.LODGE;
    if (!keyed || apart > windowNanos + ATTEMPT_SLACK) {
      breach(
          Invariant.NO_SECOND_EFFECT,
          request,
          mayHaveRun.size() + " attempts may have run, " + apart / MILLIS + " ms apart");
    }
  }

  // ---- hosts and gateways ----

  private void judgeDrain(SoakRecords.Drain drain) {
    long told = drain.toldNanos();
    for (SoakRecords.JournalOutage outage : records.journalOutages) {
      if (outage.startNanos() <= drain.toldNanos() && outage.endNanos() >= drain.toldNanos()) {
        told = Math.max(told, outage.startNanos() + JOURNAL_GRACE);
      }
    }
    long from = told + drainGraceNanos + ATTEMPT_SLACK + RIG_SLACK;
    for (HostAttemptRecord attempt : records.attempts) {
      if (attempt.host() == drain.host()
          && attempt.sentNanos() > from
          && attempt.sentNanos() < drain.untilNanos()) {
        long late = (attempt.sentNanos() - told) / MILLIS;
        breaches.add(
            new Breach(
                Invariant.NOTHING_TO_DRAINING_HOST,
                attempt.id(),
                late + " ms after host " + drain.host() + " drains" + timelineOf(attempt)));
      }
    }
  }

  /** All gateways together: what each has saved up, and their common rate. */
  private void judgeProbes() {
    int most = PROBES_SAVED_UP * plan.gateways() + PROBES_PER_SECOND;
    Map<SoakRecords.Probe, Integer> perSecond = new HashMap<>();
    records.probes.forEach(probe -> perSecond.merge(probe, 1, Integer::sum));
    perSecond.forEach(
        (probe, count) -> {
          if (count > most) {
            String subject = "host " + probe.host();
            breaches.add(
                new Breach(Invariant.PROBES_BOUNDED, subject, count + " probes in a second"));
          }
        });
  }

  private void judgeGateway(GatewayEvent event) {
    Invariant invariant =
        switch (event.kind()) {
          case CRASHED -> Invariant.NO_CRASH;
          case NOT_READY -> Invariant.READY_IN_TIME;
          case OVER_LIMIT -> Invariant.LIMITS_KEPT;
          case VIOLATION -> Invariant.NO_VIOLATION_REPORTED;
          default -> null;
        };
    if (invariant != null && !isReportOfOvertaken(event)) {
      breaches.add(new Breach(invariant, "gateway " + event.gateway(), event.detail()));
    }
  }

  /** The gateway reports the attempt that a standstill has overtaken, too. */
  private boolean isReportOfOvertaken(GatewayEvent report) {
    if (report.kind() != GatewayEvent.Kind.VIOLATION
        || !OVERTAKEN_REPORT.matcher(report.detail()).find()) {
      return false;
    }
    for (GatewayEvent event : eventsOf(report.gateway())) {
      long sinceEnd = report.startNanos() - event.endNanos();
      if (event.kind() == GatewayEvent.Kind.STANDSTILL
          && sinceEnd < ATTEMPT_SLACK
          && report.startNanos() > event.startNanos()) {
        String id = report.detail().replaceAll(".* id=([0-9a-f]+).*", "$1");
        String first = overtaken.putIfAbsent(event, id);
        return first == null || first.equals(id);
      }
    }
    return false;
  }

  // ---- reports ----

  private void breach(Invariant invariant, ClientRequest request, String what) {
    breaches.add(new Breach(invariant, request.id, what + timeline(request)));
  }

  private String timelineOf(HostAttemptRecord attempt) {
    return records.requests.stream()
        .filter(request -> request.id.equals(attempt.id()))
        .findFirst()
        .map(this::timeline)
        .orElse("");
  }

  /** Everything that was recorded of a request, relative to when it was sent. */
  private String timeline(ClientRequest request) {
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            Locale.ROOT,
            "; %s of %d ms at gateway %d on %s connection;",
            request.trigger,
            request.timeoutMillis,
            request.gateway,
            request.onNewConnection ? "a new" : "an open"));
    append(text, request, "answered " + request.status, request.answeredAt);
    append(text, request, "client left", request.leftAt);
    append(text, request, "closed", request.closedAt);
    for (HostAttemptRecord attempt : attempts.getOrDefault(request.id, List.of())) {
      append(text, request, "attempt at host " + attempt.host(), attempt.atNanos());
    }
    Set<GatewayEvent> near = new HashSet<>();
    for (GatewayEvent event : eventsOf(request.gateway)) {
      boolean around =
          event.overlaps(request.sentAt - 1_000 * MILLIS, request.deadline() + 1_000 * MILLIS);
      if (around && event.kind() != GatewayEvent.Kind.VIOLATION && near.add(event)) {
        append(text, request, event.kind() + " from", event.startNanos());
        append(text, request, event.kind() + " until", event.endNanos());
      }
    }
    return text.toString();
  }

  private static void append(StringBuilder text, ClientRequest request, String what, long at) {
    if (at != ClientRequest.NEVER) {
      text.append(' ').append(what).append(" +").append((at - request.sentAt) / MILLIS).append(';');
    }
  }

  /** Requests, answers by status, and attempts, in one line. */
  String summary() {
    Map<Integer, Integer> byStatus = new java.util.TreeMap<>();
    int left = 0;
    for (ClientRequest request : records.requests) {
      if (request.isAnswered()) {
        byStatus.merge(request.status, 1, Integer::sum);
      } else if (request.leftAt != ClientRequest.NEVER) {
        left++;
      }
    }
    return "seed "
        + plan.seed()
        + ": "
        + records.requests.size()
        + " requests, answers "
        + byStatus
        + ", left "
        + left
        + ", attempts "
        + records.attempts.size()
        + ", breaches "
        + breaches.size();
  }
}
