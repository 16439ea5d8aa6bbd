package flintlead.testing.soak;

import java.util.ArrayList;
import java.util.List;

/** One request as its client saw it. Times are nanoseconds of {@link System#nanoTime}. */
final class ClientRequest {

  /** No such event. */
  static final long NEVER = Long.MAX_VALUE;

  final String id;
  final int gateway;
  final TriggerKind trigger;
  final int timeoutMillis;
  final String body;
  final boolean onNewConnection;

  /** What came back after the final answer, or in place of one. */
  final List<String> faults = new ArrayList<>();

  /** When its last byte was written. */
  volatile long sentAt = NEVER;

  /** When its client closed the connection. */
  volatile long leftAt = NEVER;

  volatile long answeredAt = NEVER;
  volatile int status;
  volatile String answerBody = "";

  /** When the gateway ended the connection without an answer. */
  volatile long closedAt = NEVER;

  /** Its client sent it again, as the protocol wants after a close that crossed it. */
  volatile boolean resent;

  ClientRequest(
      String id,
      int gateway,
      TriggerKind trigger,
      int timeoutMillis,
      String body,
      boolean onNewConnection) {
    this.id = id;
    this.gateway = gateway;
    this.trigger = trigger;
    this.timeoutMillis = timeoutMillis;
    this.body = body;
    this.onNewConnection = onNewConnection;
  }

  long deadline() {
    return sentAt + timeoutMillis * 1_000_000L;
  }

  boolean isAnswered() {
    return answeredAt != NEVER;
  }

  /** When nothing more may be begun for it: its client has left, or has its answer. */
  long endedAt() {
    return Math.min(leftAt, Math.min(answeredAt, closedAt));
  }
}
