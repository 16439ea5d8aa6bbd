package flintlead.routing.guard;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * Decides for every invocation whether it may start, whether an attempt may be sent, and whether an
 * answer is its only final answer. Callers read the clock for each call instead of passing the
 * event loop's time, which may be out of date by then. Actions that break an invariant, and those
 * that are noticed only when they can't be undone any more, are counted as violations.
 *
 * <p>An attempt is sent only if the client's connection was known to be open at most {@link
 * #MAX_TIME_SINCE_CLIENT_SEEN} ago: the process may stall at any time, and clients that disconnect
 * meanwhile are not noticed until their sockets are polled again.
 */
public final class InvocationGuard {

  /**
   * Longest time since the client's connection was last known to be open, for an attempt to be
   * sent.
   */
  static final Span MAX_TIME_SINCE_CLIENT_SEEN = Span.ofMillis(40);

  /**
   * An attempt that is sent more than this long after its client has disconnected breaks the
   * contract with clients.
   */
  private static final Span MAX_SEND_AFTER_DISCONNECT = Span.ofMillis(100);

  /** The time granted to a host may exceed the client's remaining time by at most this. */
  private static final Span DEADLINE_SLACK = Span.ofMillis(150);

  /** For this long after a stall, late answers are attributed to the stall and not reported. */
  private static final Span STALL_GRACE = Span.ofMillis(250);

  private final InvariantMonitor monitor;
  private Moment stallGraceEnd = Moment.START;

  /** Creates a guard that reports violations to the monitor. */
  public InvocationGuard(InvariantMonitor monitor) {
    this.monitor = monitor;
  }

  /** Returns the monitor that counts violations. */
  public InvariantMonitor monitor() {
    return monitor;
  }

  /**
   * Creates the record of an invocation that was just read. Its timeout runs from the earliest time
   * at which it may have arrived, which can be long before it was read.
   *
   * @param earliestArrival the earliest time at which the request may have arrived; not after the
   *     present
   * @param timeout the timeout that the client has set
   */
  public InvocationRecord begin(String id, Moment earliestArrival, Span timeout) {
    return new InvocationRecord(id, earliestArrival, earliestArrival.plus(timeout));
  }

  /**
   * Whether the client may have stopped waiting, so that no work may be started for the invocation.
   */
  public boolean isExpired(InvocationRecord invocation, Moment clock) {
    return !clock.isBefore(invocation.deadline());
  }

  /**
   * Decides whether an attempt may be sent now.
   *
   * @param clientSeenAt the latest time at which the client's connection is known to have been open
   * @param abandonAt when the gateway stops waiting for the answer to this attempt
   */
  public SendVerdict maySend(
      InvocationRecord invocation, Moment clientSeenAt, Moment abandonAt, Moment clock) {
    if (!invocation.isOpen()) {
      return SendVerdict.ENDED;
    }
    if (!clock.isBefore(Moment.earlier(invocation.deadline(), abandonAt))) {
      return SendVerdict.EXPIRED;
    }
    return isRecent(clientSeenAt, clock) ? SendVerdict.SEND : SendVerdict.POLL_FIRST;
  }

  /**
   * Whether the state of a client's connection that was known at {@code knownAt} is recent enough
   * to act on.
   */
  public static boolean isRecent(Moment knownAt, Moment clock) {
    return !clock.since(knownAt).isLongerThan(MAX_TIME_SINCE_CLIENT_SEEN);
  }

  /**
   * Checks the invariants of an attempt that was sent and can't be recalled any more, and reports
   * violations.
   *
   * @param granted the time that the host was granted to answer
   * @param clock the time, read after the attempt was passed to the kernel
   */
  public void checkSent(
      InvocationRecord invocation, Moment clientSeenAt, Span granted, Moment clock) {
    if (!invocation.isOpen()) {
      violated(
          Invariant.NO_ATTEMPT_AFTER_END,
          invocation,
          "attempt sent in phase " + invocation.phase());
    }
    Span sinceClientSeen = clock.since(clientSeenAt);
    if (sinceClientSeen.isLongerThan(MAX_SEND_AFTER_DISCONNECT)) {
      violated(
          Invariant.CLIENT_SEEN_BEFORE_ATTEMPT,
          invocation,
          "attempt sent although the client's connection was not known to be open for "
              + millis(sinceClientSeen));
    }
    Span left = invocation.deadline().since(clock);
    if (granted.isLongerThan(left.plus(DEADLINE_SLACK))) {
      violated(
          Invariant.DEADLINE_NOT_EXTENDED,
          invocation,
          millis(granted) + " granted to a host, the client's remaining time is " + millis(left));
    }
  }

  /**
   * Marks the invocation as answered, right before its final answer is sent. Returns false and
   * reports a violation if the invocation has ended before; the answer must not be sent then.
   */
  public boolean markAnswered(InvocationRecord invocation) {
    if (invocation.transitionTo(InvocationPhase.ANSWERED)) {
      return true;
    }
    violated(
        Invariant.ONE_FINAL_ANSWER,
        invocation,
        "another final answer in phase " + invocation.phase());
    return false;
  }

  /**
   * Marks the invocation's client as gone: it has disconnected or cancelled the invocation. Returns
   * false if the invocation has ended before.
   */
  public boolean markClientGone(InvocationRecord invocation) {
    return invocation.transitionTo(InvocationPhase.CLIENT_GONE);
  }

  /**
   * Reports that the gateway closes a client connection while an invocation on it is unanswered.
   */
  public void reportClosedUnanswered(InvocationRecord invocation, String reason) {
    violated(Invariant.ANSWER_BEFORE_CLOSE, invocation, reason);
  }

  /**
   * Reports an invocation that is unanswered after its deadline, unless the process has just been
   * stalled.
   */
  public void reportOverdue(InvocationRecord invocation, Moment clock) {
    if (clock.isAfter(stallGraceEnd)) {
      Span late = clock.since(invocation.deadline());
      violated(
          Invariant.ANSWER_IN_TIME,
          invocation,
          "unanswered " + millis(late) + " after its deadline");
    }
  }

  /** Reports an exception of a part of the gateway that processed the invocation. */
  public void reportFailure(InvocationRecord invocation, RuntimeException cause) {
    violated(Invariant.LIFECYCLE, invocation, cause.toString());
  }

  /** Records that the process was stalled and runs again from now on. */
  public void recordStall(Moment clock) {
    stallGraceEnd = clock.plus(STALL_GRACE);
  }

  private static String millis(Span span) {
    return span.micros() / 1_000 + " ms";
  }

  private void violated(Invariant invariant, InvocationRecord invocation, String detail) {
    monitor.violated(invariant, invocation.id(), detail + "; " + invocation.history());
  }
}
