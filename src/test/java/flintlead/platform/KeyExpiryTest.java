package flintlead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import flintlead.platform.downstream.InvocationHandler;
import flintlead.routing.guard.InvariantMonitor;
import flintlead.routing.guard.InvocationGuard;
import flintlead.routing.guard.SendVerdict;
import flintlead.scheduling.api.InvocationSpec;
import flintlead.time.Moment;
import flintlead.time.Span;
import io.netty.buffer.ByteBuf;
import org.junit.jupiter.api.Test;

/** A repeat may wait for a connection past the time for which hosts know its key. */
class KeyExpiryTest {

  private static final Moment START = new Moment(1_000_000);
  private static final Moment DEADLINE = START.plus(Span.ofMillis(3_000));

  private final InvocationGuard guard =
      new InvocationGuard(new InvariantMonitor((invariant, id, detail) -> {}));
  private Moment now = START;

  /** A client that is connected at all times. */
  private final class ConnectedClient implements InvocationHandler.ResponseCallback {
    @Override
    public void succeeded(ByteBuf body) {}

    @Override
    public void throttled(Span retryIn) {}

    @Override
    public void errored() {}

    @Override
    public Moment seenOpenAt() {
      return now;
    }
  }

  private HostAttempt attempt() {
    Span timeout = Span.ofMillis(3_000);
    InvocationSpec spec =
        new InvocationSpec(0, 0, 1, timeout, Span.ZERO, false, 100, 1, Span.ZERO, false);
    PendingInvocation invocation =
        new PendingInvocation(
            new InvocationHandler.Invocation(1, "1", "1", spec, "k"),
            "lodge",
            new byte[0],
            new ConnectedClient(),
            guard.begin("1", START, timeout));
    AttemptRunner runner = new AttemptRunner(null, null, null, null, null, null, guard);
    return new HostAttempt(runner, invocation, null, null, START, DEADLINE);
  }

  /**
   * After a stall the timer that withdraws queued repeats was as late as the connection they waited
   * for, and a repeat was written after hosts had forgotten its key.
   */
  @Test
  void aRepeatIsNotWrittenOnceHostsHaveForgottenItsKey() {
    HostAttempt repeat = attempt();
    repeat.setKeyExpiry(START.plus(Span.ofMillis(2_000)));
    now = START.plus(Span.ofMillis(1_999));
    assertEquals(SendVerdict.SEND, repeat.maySend(now, now));
    now = START.plus(Span.ofMillis(2_000));
    assertEquals(SendVerdict.EXPIRED, repeat.maySend(now, now));
  }

  @Test
  void aFirstAttemptMayBeWrittenUntilItsEnd() {
    HostAttempt first = attempt();
    now = START.plus(Span.ofMillis(2_500));
    assertEquals(SendVerdict.SEND, first.maySend(now, now));
  }
}
