package flintlead.testing.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import flintlead.testing.soak.Breach.Invariant;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * For each invariant of the soak a fault is planted that the oracle must find, and nothing else.
 */
class SoakOracleTest {

  private static final long MILLIS = 1_000_000L;
  private static final long START = 1_000_000 * MILLIS;
  private static final int TIMEOUT_MILLIS = 400;

  private final SoakPlan plan = SoakPlan.draw(1, 1, 1, 1_000);
  private final SoakRecords records = new SoakRecords();

  private static long at(long millis) {
    return START + millis * MILLIS;
  }

  private ClientRequest request(TriggerKind trigger) {
    ClientRequest request =
        new ClientRequest("00000000000000a1", 0, trigger, TIMEOUT_MILLIS, "body", false);
    request.sentAt = START;
    records.requests.add(request);
    return request;
  }

  private void attempt(TriggerKind trigger, int host, long limit, long sentMillis, long atMillis) {
    records.attempts.add(
        new HostAttemptRecord(
            "00000000000000a1",
            trigger.wireName(),
            "",
            "body",
            limit,
            host,
            at(sentMillis),
            at(atMillis)));
  }

  private ClientRequest served(TriggerKind trigger, long afterMillis) {
    ClientRequest request = request(trigger);
    request.status = 200;
    request.answerBody = "body";
    request.answeredAt = at(afterMillis);
    return request;
  }

  private void event(GatewayEvent.Kind kind, long fromMillis, long untilMillis) {
    records.gatewayEvents.add(
        new GatewayEvent(0, kind, at(fromMillis), at(untilMillis), "planted"));
  }

  private void expect(Invariant... expected) {
    List<Invariant> found =
        new SoakOracle(plan, records).judge().stream().map(Breach::invariant).toList();
    assertEquals(List.of(expected), found);
  }

  // ---- what holds ----

  @Test
  void aRequestThatIsServedBreaksNothing() {
    served(TriggerKind.APPLY, 100);
    attempt(TriggerKind.APPLY, 0, 395, 5, 5);
    expect();
  }

  @Test
  void aClientThatLeavesIsOwedNothing() {
    request(TriggerKind.APPLY).leftAt = at(50);
    attempt(TriggerKind.APPLY, 0, 395, 100, 100);
    expect();
  }

  @Test
  void aKillWithoutNoticeAndAStandstillExcuse() {
    ClientRequest killed = request(TriggerKind.CHECK);
    killed.closedAt = at(100);
    event(GatewayEvent.Kind.KILLED, 99, 1_000);
    expect();
    records.requests.clear();
    records.gatewayEvents.clear();
    served(TriggerKind.CHECK, 1_500);
    attempt(TriggerKind.CHECK, 0, 395, 5, 5);
    event(GatewayEvent.Kind.STANDSTILL, 20, 1_400);
    expect();
  }

  @Test
  void aRequestThatCrossedTheEndOfARestingConnectionWasSentAgain() {
    ClientRequest crossed = request(TriggerKind.CHECK);
    crossed.closedAt = at(10);
    crossed.resent = true;
    expect();
  }

  // ---- a planted fault for each invariant ----

  @Test
  void aLateAnswerIsFound() {
    served(TriggerKind.CHECK, TIMEOUT_MILLIS + 530);
    attempt(TriggerKind.CHECK, 0, 395, 5, 5);
    expect(Invariant.ANSWER_IN_TIME);
  }

  @Test
  void aMissingAnswerIsFound() {
    request(TriggerKind.CHECK).leftAt = at(3_000);
    expect(Invariant.ANSWER_IN_TIME);
  }

  @Test
  void aMissingAnswerOfAnAnnouncedKillIsFoundUnlessTheRequestCameJustBefore() {
    request(TriggerKind.CHECK).closedAt = at(300);
    event(GatewayEvent.Kind.KILLED_AFTER_TERM, 299, 1_000);
    expect(Invariant.NO_CLOSE_WITHOUT_ANSWER);
    records.gatewayEvents.clear();
    event(GatewayEvent.Kind.KILLED_AFTER_TERM, 50, 1_000);
    expect();
  }

  @Test
  void aWrongBodyAndASecondAnswerAreFound() {
    ClientRequest request = served(TriggerKind.CHECK, 100);
    attempt(TriggerKind.CHECK, 0, 395, 5, 5);
    request.answerBody = "another";
    request.faults.add("bytes after the answer");
    expect(Invariant.ONE_WHOLE_RIGHT_ANSWER, Invariant.ONE_WHOLE_RIGHT_ANSWER);
  }

  @Test
  void anAnswerThatNoHostMadeIsFound() {
    served(TriggerKind.CHECK, 100);
    expect(Invariant.ONE_WHOLE_RIGHT_ANSWER);
  }

  @Test
  void aCloseWithoutAnAnswerIsFound() {
    request(TriggerKind.CHECK).closedAt = at(100);
    expect(Invariant.NO_CLOSE_WITHOUT_ANSWER);
  }

  @Test
  void anEndOfAGatewayByItselfExcusesNothing() {
    request(TriggerKind.CHECK).closedAt = at(100);
    event(GatewayEvent.Kind.ENDED, 100, 100);
    expect(Invariant.NO_CLOSE_WITHOUT_ANSWER);
  }

  @Test
  void anAttemptAfterTheClientHasLeftIsFound() {
    request(TriggerKind.CHECK).leftAt = at(50);
    attempt(TriggerKind.CHECK, 0, 100, 171, 171);
    expect(Invariant.NO_ATTEMPT_AFTER_END);
  }

  @Test
  void anAttemptThatTheNetworkHeldIsFoundUnlessTheGatewayStoodStill() {
    request(TriggerKind.CHECK).leftAt = at(50);
    attempt(TriggerKind.CHECK, 0, 395, 10, 400);
    expect(Invariant.NO_ATTEMPT_AFTER_END);
    event(GatewayEvent.Kind.STANDSTILL, 40, 500);
    expect();
  }

  /** One attempt of a standstill may have been between its check and its system call, not two. */
  @Test
  void onlyOneAttemptIsExcusedAsOvertakenByAStandstill() {
    request(TriggerKind.CHECK).leftAt = at(50);
    attempt(TriggerKind.CHECK, 0, 395, 601, 601);
    event(GatewayEvent.Kind.STANDSTILL, 2, 600);
    expect();
    ClientRequest other =
        new ClientRequest("00000000000000b2", 0, TriggerKind.CHECK, 400, "body", false);
    other.sentAt = START;
    other.leftAt = at(50);
    records.requests.add(other);
    records.attempts.add(
        new HostAttemptRecord("00000000000000b2", "check", "", "body", 100, 0, at(601), at(601)));
    expect(Invariant.NO_ATTEMPT_AFTER_END, Invariant.DEADLINE_NOT_EXTENDED);
  }

  @Test
  void aReportOfTheOvertakenAttemptIsExcusedAndAnyOtherIsFound() {
    event(GatewayEvent.Kind.STANDSTILL, 2, 600);
    String report = "invariant=client_seen_before_attempt id=00000000000000a1 detail=x";
    records.gatewayEvents.add(
        new GatewayEvent(0, GatewayEvent.Kind.VIOLATION, at(601), at(601), report));
    expect();
    records.gatewayEvents.add(
        new GatewayEvent(
            0, GatewayEvent.Kind.VIOLATION, at(602), at(602), report.replace("a1", "b2")));
    expect(Invariant.NO_VIOLATION_REPORTED);
  }

  @Test
  void aDeadlineThatIsExtendedIsFound() {
    served(TriggerKind.CHECK, 300);
    attempt(TriggerKind.CHECK, 0, 371, 200, 210);
    expect(Invariant.DEADLINE_NOT_EXTENDED);
  }

  @Test
  void aSecondEffectIsFoundUnlessTheFirstIsProvenNotToHaveRun() {
    served(TriggerKind.APPLY, 300);
    attempt(TriggerKind.APPLY, 0, 395, 5, 5);
    attempt(TriggerKind.APPLY, 1, 300, 100, 100);
    expect(Invariant.NO_SECOND_EFFECT);
    records.provenNotRun.add(SoakRecords.attemptKey("00000000000000a1", 0, at(5)));
    expect();
  }

  @Test
  void aKeyedRequestOutsideItsWindowIsFound() {
    ClientRequest request = served(TriggerKind.LODGE, 2_300);
    attempt(TriggerKind.LODGE, 0, 395, 5, 5);
    attempt(TriggerKind.LODGE, 1, 100, 300, 300);
    request.answeredAt = at(350);
    expect();
    records.attempts.clear();
    records.requests.clear();
    ClientRequest longer =
        new ClientRequest("00000000000000a1", 0, TriggerKind.LODGE, 3_000, "body", false);
    longer.sentAt = START;
    longer.status = 200;
    longer.answerBody = "body";
    longer.answeredAt = at(2_900);
    records.requests.add(longer);
    attempt(TriggerKind.LODGE, 0, 2_900, 5, 5);
    attempt(TriggerKind.LODGE, 1, 800, 2_200, 2_200);
    expect(Invariant.NO_SECOND_EFFECT);
  }

  @Test
  void anAttemptAtADrainingHostIsFoundAfterTheGrace() {
    served(TriggerKind.CHECK, 300);
    attempt(TriggerKind.CHECK, 0, 195, 200, 200);
    records.drains.add(new SoakRecords.Drain(0, at(-700), at(5_000)));
    expect();
    records.drains.clear();
    records.drains.add(new SoakRecords.Drain(0, at(-1_000), at(5_000)));
    expect(Invariant.NOTHING_TO_DRAINING_HOST);
    records.journalOutages.add(new SoakRecords.JournalOutage(at(-1_500), at(100)));
    expect();
  }

  /** Told 4 s after the outage began at the latest, also while it lasts. */
  @Test
  void anAttemptAtAHostThatDrainsDuringALongOutageIsFound() {
    served(TriggerKind.CHECK, 300);
    attempt(TriggerKind.CHECK, 0, 195, 200, 200);
    records.drains.add(new SoakRecords.Drain(0, at(-1_000), at(5_000)));
    records.journalOutages.add(new SoakRecords.JournalOutage(at(-10_000), at(9_000)));
    expect(Invariant.NOTHING_TO_DRAINING_HOST);
    records.journalOutages.clear();
    records.drains.clear();
    records.drains.add(new SoakRecords.Drain(0, at(-7_000), at(5_000)));
    records.journalOutages.add(new SoakRecords.JournalOutage(at(-7_500), at(9_000)));
    expect(Invariant.NOTHING_TO_DRAINING_HOST);
    records.journalOutages.clear();
    records.journalOutages.add(new SoakRecords.JournalOutage(at(-7_010), at(9_000)));
    records.attempts.clear();
    attempt(TriggerKind.CHECK, 0, 195, -2_100, -2_100);
    records.requests.clear();
    expect();
  }

  @Test
  void aHostThatGetsTooManyProbesIsFound() {
    for (int i = 0; i < 100; i++) {
      records.probes.add(new SoakRecords.Probe(3, 5));
    }
    expect(Invariant.PROBES_BOUNDED);
  }

  @Test
  void whatAGatewayDoesWrongIsFound() {
    event(GatewayEvent.Kind.CRASHED, 1, 1);
    event(GatewayEvent.Kind.NOT_READY, 1, 1);
    event(GatewayEvent.Kind.OVER_LIMIT, 1, 1);
    event(GatewayEvent.Kind.VIOLATION, 1, 1);
    expect(
        Invariant.NO_CRASH,
        Invariant.READY_IN_TIME,
        Invariant.LIMITS_KEPT,
        Invariant.NO_VIOLATION_REPORTED);
  }

  @Test
  void aPlanIsTheSameForTheSameSeed() {
    assertEquals(SoakPlan.draw(7, 10, 40, 20_000), SoakPlan.draw(7, 10, 40, 20_000));
  }
}
