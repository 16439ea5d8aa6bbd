package flintlead.routing.pending;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Each admitted invocation gets exactly one response, in whatever order the gateway makes its
 * calls.
 */
class PendingResponsesTest {

  private final List<String> alarms = new ArrayList<>();
  private final PendingResponses<String> pending =
      new PendingResponses<>(new Span(50), alarms::add);

  @Property(tries = 200, seed = "4714")
  void eachInvocationGetsOneResponseInAnyOrderOfCalls(@ForAll long seed) {
    PendingResponses<String> responses = new PendingResponses<>(new Span(5), alarms::add);
    Random random = new Random(seed);
    Map<Long, Integer> received = new HashMap<>();
    Set<Long> disconnected = new HashSet<>();
    long next = 0;
    for (long at = 0; at < 300; at++) {
      long id = next == 0 ? 0 : random.nextLong(next);
      switch (random.nextInt(4)) {
        case 0 -> {
          long fresh = next++;
          responses.register(
              fresh,
              new Moment(at + random.nextInt(20)),
              answer -> received.merge(fresh, 1, Integer::sum));
        }
        case 1 -> responses.complete(id, "a");
        case 2 -> {
          if (responses.discard(id)) {
            disconnected.add(id);
          }
        }
        default ->
            responses.expired(new Moment(at)).forEach(late -> responses.complete(late, "late"));
      }
    }
    responses.expired(new Moment(1_000_000)).forEach(late -> responses.complete(late, "late"));
    assertEquals(0, responses.size());
    for (long id = 0; id < next; id++) {
      assertEquals(disconnected.contains(id) ? 0 : 1, received.getOrDefault(id, 0));
    }
    assertEquals(responses.registered(), responses.completed() + responses.discarded());
  }

  @Test
  void aSecondResponseIsWithheldAndReported() {
    List<String> received = new ArrayList<>();
    pending.register(1, new Moment(100), received::add);
    assertTrue(pending.complete(1, "first"));
    pending.complete(1, "second");
    assertEquals(List.of("first"), received);
    assertEquals(1, pending.duplicateResponses());
    assertTrue(alarms.get(0).contains("second"));
  }

  @Test
  void anInvocationExpiresAfterTheSlackAndNotBefore() {
    pending.register(1, new Moment(100), answer -> {});
    assertEquals(List.of(), pending.expired(new Moment(149)));
    assertEquals(List.of(1L), pending.expired(new Moment(150)));
    assertThrows(
        IllegalStateException.class, () -> pending.register(1, new Moment(200), answer -> {}));
  }
}
