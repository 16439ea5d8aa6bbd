package flintlead.routing.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.routing.admission.AdmissionController.Limits;
import flintlead.routing.admission.AdmissionController.Source;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** No limit is ever exceeded, and no client can use up the capacity for all others. */
class AdmissionControllerTest {

  private static Limits limits(int maxInvocations, double freeShareMultiple) {
    return new Limits(
        maxInvocations, 1_000_000, freeShareMultiple, 10, 10_000, 1_000, 5_000, Span.ofMillis(100));
  }

  private record Admitted(Source source, long payloadBytes) {
    void release(AdmissionController admission) {
      admission.release(source, payloadBytes);
    }
  }

  @Property(tries = 300, seed = "4714")
  void limitsHoldAndEverythingIsReleased(
      @ForAll @IntRange(min = 1, max = 50) int maxInvocations,
      @ForAll @DoubleRange(min = 0.1, max = 10) double freeShareMultiple,
      @ForAll long seed) {
    AdmissionController admission =
        new AdmissionController(limits(maxInvocations, freeShareMultiple), new Random(seed));
    Random random = new Random(seed);
    List<Source> sources = List.of(new Source(), new Source(), new Source());
    List<Admitted> admitted = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      if (random.nextInt(3) > 0) {
        Source source = sources.get(random.nextInt(3));
        long size = random.nextInt(60_000);
        if (admission.tryAdmit(source, size)) {
          admitted.add(new Admitted(source, size));
        }
      } else if (!admitted.isEmpty()) {
        admitted.remove(random.nextInt(admitted.size())).release(admission);
      }
      assertTrue(admission.admitted() <= maxInvocations && admission.bytes() <= 1_000_000);
      assertEquals(admitted.size(), admission.admitted());
      assertEquals(admission.admitted(), sources.stream().mapToInt(Source::invocations).sum());
    }
    admitted.forEach(invocation -> invocation.release(admission));
    assertEquals(0, admission.admitted() + admission.bytes());
  }

  /**
   * With a multiple of 4, a single source can fill four fifths of the capacity: after ten thousand
   * calls of a greedy source, ten calls of another one are still admitted.
   */
  @Test
  void aGreedySourceLeavesRoomForTheNext() {
    AdmissionController admission = new AdmissionController(limits(1_000, 4), new Random(1));
    Source greedy = new Source();
    int got = 0;
    for (int i = 0; i < 10_000; i++) {
      got += admission.tryAdmit(greedy, 1) ? 1 : 0;
    }
    assertEquals(800, got);
    Source modest = new Source();
    for (int i = 0; i < 10; i++) {
      assertTrue(
          admission.tryAdmit(modest, 1), "call " + i + " of a modest client beside a greedy one");
    }
  }

  @Test
  void aPausedConnectionIsReadAgainOnlyBelowThreeQuartersOfItsWindow() {
    AdmissionController admission = new AdmissionController(limits(1_000, 100), new Random(1));
    Source source = new Source();
    for (int i = 0; i < 9; i++) {
      assertTrue(admission.tryAdmit(source, 1));
      assertTrue(admission.mayRead(source));
    }
    admission.tryAdmit(source, 1);
    assertFalse(admission.mayRead(source));
    admission.release(source, 1);
    admission.release(source, 1);
    assertFalse(admission.mayRead(source), "8 of 10 are in flight, more than three quarters");
    admission.release(source, 1);
    assertTrue(admission.mayRead(source));
  }

  @Test
  void aClientThatLeavesResponsesUnreadIsPausedThenDisconnected() {
    AdmissionController admission = new AdmissionController(limits(1_000, 4), new Random(1));
    Source source = new Source();
    admission.recordUnsent(source, 1_000, new Moment(0));
    assertFalse(admission.mayRead(source));
    assertFalse(admission.shouldClose(source, new Moment(100_000)));
    assertTrue(admission.shouldClose(source, new Moment(100_001)));
    admission.recordUnsent(source, 900, new Moment(100_001));
    assertFalse(
        admission.shouldClose(source, new Moment(150_000)),
        "reading some bytes restarts the client's timeout");
    admission.recordUnsent(source, 5_001, new Moment(100_002));
    assertTrue(
        admission.shouldClose(source, new Moment(100_002)),
        "more unread bytes than unsentCloseBytes");
    admission.recordUnsent(source, 0, new Moment(100_003));
    assertTrue(admission.mayRead(source) && !admission.shouldClose(source, new Moment(9_000_000)));
  }

  @Test
  void theRetryDelayGrowsWithTheLoad() {
    AdmissionController admission = new AdmissionController(limits(10, 100), new Random(1));
    Span empty = admission.retryAfter();
    Source source = new Source();
    while (admission.tryAdmit(source, 1)) {
      assertTrue(admission.admitted() <= 10);
    }
    assertTrue(empty.micros() <= 200_000 && admission.retryAfter().micros() >= 300_000);
  }

  @Test
  void anIdleConnectionMakesRoomAndABusyOneDoesNot() {
    ConnectionLimiter<String> limiter = new ConnectionLimiter<>(2, Span.ofMillis(10));
    ConnectionLimiter<String>.TrackedConnection first = limiter.add("first", new Moment(0));
    ConnectionLimiter<String>.TrackedConnection second = limiter.add("second", new Moment(1));
    assertFalse(limiter.canAccept(new Moment(9_000)), "no connection has been idle for 10 ms");
    assertSame(first, limiter.evictionCandidate(new Moment(10_000)));
    limiter.setBusy(first, true, new Moment(10_000));
    assertNull(limiter.evictionCandidate(new Moment(10_000)));
    assertSame(second, limiter.evictionCandidate(new Moment(10_001)));
    limiter.setBusy(first, false, new Moment(20_000));
    limiter.setBusy(second, true, new Moment(20_000));
    assertFalse(
        limiter.canAccept(new Moment(29_999)),
        "the first has been idle for only 9.999 ms since its last invocation");
    limiter.remove(second);
    assertTrue(limiter.canAccept(new Moment(20_001)));
  }
}
