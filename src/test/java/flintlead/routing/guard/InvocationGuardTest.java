package flintlead.routing.guard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Allowed transitions of an invocation, and one violation of each invariant that the guard checks.
 */
class InvocationGuardTest {

  private static final Moment START = new Moment(1_000_000);

  private final List<Invariant> violated = new ArrayList<>();
  private final InvocationGuard guard =
      new InvocationGuard(new InvariantMonitor((invariant, id, detail) -> violated.add(invariant)));
  private final InvocationRecord invocation =
      guard.begin("00000000000000a1", START, Span.ofMillis(300));

  private static Moment after(double millis) {
    return START.plus(Span.ofMillis(millis));
  }

  private SendVerdict verdict(double seenAtMillis, double nowMillis) {
    return guard.maySend(invocation, after(seenAtMillis), after(1_000), after(nowMillis));
  }

  @Test
  void anAttemptIsSentOnlyIfItsClientWasSeenRecently() {
    assertEquals(SendVerdict.SEND, verdict(10, 20));
    assertEquals(SendVerdict.POLL_FIRST, verdict(10, 51));
    assertEquals(SendVerdict.EXPIRED, verdict(299, 300));
    guard.markClientGone(invocation);
    assertEquals(SendVerdict.ENDED, verdict(10, 20));
    assertEquals(List.of(), violated);
  }

  @Test
  void anAttemptIsNotSentOnceItIsAbandoned() {
    assertEquals(SendVerdict.EXPIRED, guard.maySend(invocation, after(50), after(50), after(50)));
  }

  @Test
  void anInvocationMayExpireBeforeItIsRead() {
    assertFalse(guard.isExpired(invocation, after(299)));
    assertTrue(guard.isExpired(invocation, after(300)));
  }

  @Test
  void oneFinalAnswerAndNoneAfterTheClientHasGone() {
    assertTrue(guard.markAnswered(invocation));
    assertFalse(guard.markAnswered(invocation));
    assertFalse(guard.markClientGone(invocation));
    InvocationRecord disconnected = guard.begin("b", START, Span.ofMillis(300));
    assertTrue(guard.markClientGone(disconnected));
    assertFalse(guard.markAnswered(disconnected));
    assertEquals(List.of(Invariant.ONE_FINAL_ANSWER, Invariant.ONE_FINAL_ANSWER), violated);
  }

  @Test
  void violationsByAnAttemptThatWasSentAreCounted() {
    guard.checkSent(invocation, after(0), Span.ofMillis(300), after(90));
    assertEquals(List.of(), violated);
    guard.checkSent(invocation, after(0), Span.ofMillis(100), after(101));
    guard.checkSent(invocation, after(100), Span.ofMillis(351), after(100));
    guard.markAnswered(invocation);
    guard.checkSent(invocation, after(100), Span.ofMillis(10), after(100));
    assertEquals(
        List.of(
            Invariant.CLIENT_SEEN_BEFORE_ATTEMPT,
            Invariant.DEADLINE_NOT_EXTENDED,
            Invariant.NO_ATTEMPT_AFTER_END),
        violated);
    assertEquals(3, guard.monitor().total());
    assertEquals(1, guard.monitor().count(Invariant.DEADLINE_NOT_EXTENDED));
  }

  @Test
  void anOverdueInvocationIsAViolationUnlessTheProcessWasStalled() {
    guard.recordStall(after(400));
    guard.reportOverdue(invocation, after(500));
    assertEquals(List.of(), violated);
    guard.reportOverdue(invocation, after(700));
    guard.reportClosedUnanswered(invocation, "scripted");
    guard.reportFailure(invocation, new IllegalStateException("scripted"));
    assertEquals(
        List.of(Invariant.ANSWER_IN_TIME, Invariant.ANSWER_BEFORE_CLOSE, Invariant.LIFECYCLE),
        violated);
  }

  @Test
  void theHistoryIsRelativeToTheEarliestArrival() {
    invocation.addEvent(after(5), "attempt 0 sent");
    invocation.addEvent(after(25), "throttled");
    assertEquals("+5 attempt 0 sent; +25 throttled", invocation.history());
  }
}
