package flintlead.transport.dial;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * The state machine of one address. Not thread-safe.
 *
 * <pre>
 *   UNTRIED, DOWN --connected--&gt; UP, or PROBATION where it has failed before
 *   PROBATION --activity, once it has lasted--&gt; UP
 *   UP --suspected--&gt; SUSPECT --activity--&gt; UP
 *   any --failed--&gt; DOWN
 * </pre>
 */
final class AddressState {

  private static final Span FIRST_PROBATION = Span.ofMillis(1_000);
  private static final Span MAX_PROBATION = Span.ofMillis(60_000);

  /** After so long without a failure, the past failures of an address are forgotten. */
  private static final Span FORGIVEN_AFTER = Span.ofMillis(120_000);

  private static final Moment DISTANT_PAST = new Moment(Long.MIN_VALUE);
  private static final int MAX_DOUBLINGS = 10;

  private AddressSelector.State state = AddressSelector.State.UNTRIED;

  /** Failures in a row: determine the backoff before the next dial. */
  private int consecutiveFailures;

  /** Failures of a connection that was established: determine the probation. */
  private int lostConnections;

  private Moment notBefore = DISTANT_PAST;
  private Moment since = new Moment(0);

  AddressSelector.State state() {
    return state;
  }

  /** Before this it is not dialled. */
  Moment notBefore() {
    return notBefore;
  }

  void connected(Moment now) {
    if (now.since(since).isLongerThan(FORGIVEN_AFTER)) {
      lostConnections = 0;
    }
    consecutiveFailures = 0;
    notBefore = DISTANT_PAST;
    if (state != AddressSelector.State.UP) {
      state = lostConnections > 0 ? AddressSelector.State.PROBATION : AddressSelector.State.UP;
      since = now;
    }
  }

  void activity(Moment now) {
    if (state == AddressSelector.State.SUSPECT) {
      state = AddressSelector.State.UP;
    }
    if (state == AddressSelector.State.PROBATION && !now.since(since).isShorterThan(probation())) {
      state = AddressSelector.State.UP;
      since = now;
    }
  }

  void suspected() {
    if (state == AddressSelector.State.UP) {
      state = AddressSelector.State.SUSPECT;
    }
  }

  /**
   * It failed.
   *
   * @param first the backoff after a first failure, which doubles with each further one
   * @param longest the longest backoff
   * @param jitter what the backoff is multiplied by
   */
  void failed(Span first, Span longest, double jitter, Moment now) {
    if (state == AddressSelector.State.UP
        || state == AddressSelector.State.SUSPECT
        || state == AddressSelector.State.PROBATION) {
      lostConnections++;
    }
    Span backoff =
        Span.shorter(longest, first.times(1L << Math.min(consecutiveFailures, MAX_DOUBLINGS)));
    consecutiveFailures++;
    state = AddressSelector.State.DOWN;
    since = now;
    notBefore = now.plus(backoff.times(jitter));
  }

  private Span probation() {
    long doubled = 1L << Math.min(lostConnections - 1, MAX_DOUBLINGS);
    return Span.shorter(MAX_PROBATION, FIRST_PROBATION.times(doubled));
  }
}
