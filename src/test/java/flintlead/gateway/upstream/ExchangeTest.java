package flintlead.gateway.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.transport.jsonrpc.MessageWriter;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ExchangeTest {

  private static final ExchangeResult TIMEOUT =
      ExchangeResult.unanswered(Outcome.TIMEOUT, "too late");
  private static final ExchangeResult RESET = ExchangeResult.unanswered(Outcome.RESET, "broken");

  private final List<ExchangeResult> results = new ArrayList<>();
  private final Exchange exchange =
      new Exchange() {
        @Override
        protected String method() {
          return "run";
        }

        @Override
        protected void params(MessageWriter frame) {
          throw new AssertionError("parameters were written, but these tests send no request");
        }

        @Override
        protected void ended(ExchangeResult result) {
          results.add(result);
        }
      };

  @Test
  void onlyTheFirstEndIsReported() {
    exchange.end(TIMEOUT);
    exchange.end(RESET);
    assertEquals(List.of(TIMEOUT), results);
  }

  @Test
  void aWithdrawnRequestEndsWithoutAReport() {
    exchange.markWithdrawn();
    exchange.end(RESET);
    assertTrue(exchange.hasEnded());
    assertFalse(exchange.mayHaveBeenSent());
    assertEquals(List.of(), results);
  }

  @Test
  void aRequestThatWasSentStaysSentAfterItsEnd() {
    exchange.markSent(null, 7, Moment.START);
    exchange.markWithdrawn();
    assertTrue(exchange.mayHaveBeenSent());
    assertTrue(exchange.hasEnded());
    assertEquals(7, exchange.requestId());
  }

  @Test
  void aRequestThatHasEndedIsNeverSent() {
    exchange.end(TIMEOUT);
    assertThrows(IllegalStateException.class, () -> exchange.markSent(null, 7, Moment.START));
  }

  @Test
  void aRequestIsSentOnce() {
    exchange.markSent(null, 7, Moment.START);
    assertThrows(IllegalStateException.class, () -> exchange.markSent(null, 8, Moment.START));
  }
}
