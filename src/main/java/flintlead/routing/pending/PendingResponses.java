package flintlead.routing.pending;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The admitted invocations that have no final response yet. Forwards the first final response to
 * each, drops and reports any further one, and lists the invocations whose deadline has passed
 * without a response, so that the gateway responds even when a layer above is faulty. Pure; not
 * thread-safe: used on the gateway's event loop.
 *
 * @param <A> type of the responses
 */
public final class PendingResponses<A> {

  private record PendingResponse<A>(Moment deadline, Consumer<A> recipient) {}

  private final Span slack;
  private final Consumer<String> alarm;

  /** By invocation, in the order of admission. */
  private final Map<Long, PendingResponse<A>> pending = new LinkedHashMap<>();

  private long registered;
  private long completed;
  private long discarded;
  private long duplicates;
  private long expired;

  /**
   * @param slack how long after its deadline an invocation may still get its response before it
   *     counts as expired
   * @param alarm receives a message for each dropped response and each missed deadline; either
   *     means that a layer above is faulty
   */
  public PendingResponses(Span slack, Consumer<String> alarm) {
    this.slack = slack;
    this.alarm = alarm;
  }

  /**
   * Registers an admitted invocation.
   *
   * @param recipient receives its one final response
   * @throws IllegalStateException if the invocation is already pending
   */
  public void register(long invocation, Moment deadline, Consumer<A> recipient) {
    if (pending.putIfAbsent(invocation, new PendingResponse<>(deadline, recipient)) != null) {
      throw new IllegalStateException("invocation " + invocation + " is already registered");
    }
    registered++;
  }

  /**
   * Forwards the final response of a pending invocation. A response to any other invocation is
   * dropped and reported as a duplicate.
   *
   * @return whether the response was forwarded
   */
  public boolean complete(long invocation, A response) {
    PendingResponse<A> entry = pending.remove(invocation);
    if (entry == null) {
      duplicates++;
      alarm.accept("dropped a second final response to invocation " + invocation + ": " + response);
      return false;
    }
    completed++;
    entry.recipient.accept(response);
    return true;
  }

  /**
   * Removes an invocation whose client has disconnected, so that no response is due any more.
   * Returns whether it was pending.
   */
  public boolean discard(long invocation) {
    boolean wasPending = pending.remove(invocation) != null;
    discarded += wasPending ? 1 : 0;
    return wasPending;
  }

  /** Whether the invocation has no final response yet. */
  public boolean isPending(long invocation) {
    return pending.containsKey(invocation);
  }

  /**
   * Returns and reports the invocations whose deadline plus slack has passed; the caller must
   * respond to them at once.
   */
  public List<Long> expired(Moment now) {
    List<Long> late = new ArrayList<>(0);
    pending.forEach(
        (invocation, entry) -> {
          if (!now.isBefore(entry.deadline.plus(slack))) {
            late.add(invocation);
          }
        });
    for (long invocation : late) {
      expired++;
      alarm.accept("invocation " + invocation + " had no final response at its deadline");
    }
    return late;
  }

  /** All invocations without a final response, oldest first. */
  public List<Long> pendingInvocations() {
    return new ArrayList<>(pending.keySet());
  }

  /** Number of invocations without a final response. */
  public int size() {
    return pending.size();
  }

  /** Number of invocations registered so far. */
  public long registered() {
    return registered;
  }

  /** Number of invocations whose response was forwarded. */
  public long completed() {
    return completed;
  }

  /** Number of invocations whose client disconnected before the response. */
  public long discarded() {
    return discarded;
  }

  /** Number of second responses that were dropped. */
  public long duplicateResponses() {
    return duplicates;
  }

  /** Number of times that an invocation was found without a response after its deadline. */
  public long expiredCount() {
    return expired;
  }
}
