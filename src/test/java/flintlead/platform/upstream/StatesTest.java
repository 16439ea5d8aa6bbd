package flintlead.platform.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The allowed transitions of requests and connections. */
class StatesTest {

  private static Set<RequestState> after(RequestState state) {
    return Arrays.stream(RequestState.values())
        .filter(state::mayBecome)
        .collect(Collectors.toCollection(() -> EnumSet.noneOf(RequestState.class)));
  }

  @Test
  void aRequestThatWasSentIsNeverQueuedAgain() {
    assertEquals(
        EnumSet.of(RequestState.SENT, RequestState.OUTCOME_KNOWN, RequestState.WITHDRAWN),
        after(RequestState.QUEUED));
    assertEquals(
        EnumSet.of(
            RequestState.UNSETTLED,
            RequestState.OUTCOME_KNOWN,
            RequestState.ENDED,
            RequestState.WITHDRAWN),
        after(RequestState.SENT));
    assertEquals(
        EnumSet.of(RequestState.OUTCOME_KNOWN, RequestState.WITHDRAWN),
        after(RequestState.UNSETTLED));
    assertEquals(
        EnumSet.of(RequestState.ENDED, RequestState.WITHDRAWN), after(RequestState.OUTCOME_KNOWN));
  }

  @Test
  void finalStatesHaveNoTransitions() {
    for (RequestState state : RequestState.values()) {
      assertEquals(state.isFinal(), after(state).isEmpty(), state.name());
    }
  }

  @Test
  void aConnectionOpensOnceAndClosesForGood() {
    StringBuilder allowed = new StringBuilder();
    for (ConnectionState from : ConnectionState.values()) {
      for (ConnectionState to : ConnectionState.values()) {
        if (from.mayBecome(to)) {
          allowed.append(from).append('>').append(to).append(' ');
        }
      }
    }
    assertEquals("CONNECTING>OPEN CONNECTING>CLOSED OPEN>CLOSED ", allowed.toString());
  }
}
