package flintlead.gateway.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class RequestSequenceTest {

  private static final long ONE = 1L << 12;

  private final RequestSequence ids = new RequestSequence(new Random(1));

  @Test
  void anIdIsASequenceNumberAndTwelveRandomBits() {
    Random same = new Random(1);
    assertEquals(ONE | same.nextInt(1 << 12), ids.next());
    assertEquals(2 * ONE | same.nextInt(1 << 12), ids.nextRequest());
  }

  @Test
  void anIdThatWasNeverIssuedIsRecognised() {
    long first = ids.next();
    assertTrue(ids.wasIssued(first));
    assertFalse(ids.wasIssued(first + ONE), "the id after the last issued one");
    assertFalse(ids.wasIssued(first - ONE), "the id before the first issued one");
    assertFalse(ids.wasIssued(0));
    assertFalse(ids.wasIssued(-1));
  }

  @Test
  void anAnswerAcknowledgesAllEarlierRequests() {
    long first = ids.nextRequest();
    long second = ids.nextRequest();
    long third = ids.nextRequest();
    ids.acknowledge(second);
    assertTrue(ids.isAcknowledged(first));
    assertTrue(ids.isAcknowledged(second));
    assertFalse(ids.isAcknowledged(third));
    assertTrue(ids.hasUnacknowledged());
    ids.acknowledge(third);
    assertFalse(ids.hasUnacknowledged());
    ids.acknowledge(first);
    assertTrue(
        ids.isAcknowledged(third),
        "a response to an earlier request must not revoke an acknowledgement");
  }

  @Test
  void aResponseWithAnUnissuedIdAcknowledgesNothing() {
    long first = ids.nextRequest();
    ids.acknowledge(first + 5 * ONE);
    assertFalse(ids.isAcknowledged(first));
  }

  @Test
  void pingsAndGreetingsNeedNoAcknowledgement() {
    ids.next();
    assertFalse(ids.hasUnacknowledged());
  }
}
