package flintlead.scheduling.state;

import flintlead.time.Moment;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Queue of invocations, released by descending priority, then in order of arrival. Invocations are
 * grouped by function, so that the cost of a release round depends on how many can be released, not
 * on how many are queued. Two further indexes are sorted by expiry time.
 */
public final class PendingQueue {

  private static final Comparator<InvocationState> RELEASE_ORDER =
      Comparator.comparingDouble((InvocationState invocation) -> -invocation.priorityWeight)
          .thenComparingLong(invocation -> invocation.queueSequence);

  private final Map<FunctionState, TreeSet<InvocationState>> byFunction = new HashMap<>();
  private final TreeSet<InvocationState> byObjectiveDeadline =
      new TreeSet<>(by(invocation -> invocation.objectiveDeadline));
  private final TreeSet<InvocationState> byQueueUntil =
      new TreeSet<>(by(invocation -> invocation.queueUntil));
  private long lastSequence;

  private static Comparator<InvocationState> by(Function<InvocationState, Moment> moment) {
    return Comparator.comparing(moment).thenComparingLong(invocation -> invocation.queueSequence);
  }

  /** Adds an invocation that is not in the queue. */
  public void add(InvocationState invocation) {
    invocation.queueSequence = ++lastSequence;
    byFunction
        .computeIfAbsent(invocation.function, function -> new TreeSet<>(RELEASE_ORDER))
        .add(invocation);
    byObjectiveDeadline.add(invocation);
    byQueueUntil.add(invocation);
    invocation.function.queued++;
  }

  /** Removes an invocation; does nothing if it is not in the queue. */
  public void remove(InvocationState invocation) {
    if (invocation.queueSequence == 0) {
      return;
    }
    TreeSet<InvocationState> sameFunction = byFunction.get(invocation.function);
    sameFunction.remove(invocation);
    byObjectiveDeadline.remove(invocation);
    byQueueUntil.remove(invocation);
    invocation.function.queued--;
    if (sameFunction.isEmpty()) {
      byFunction.remove(invocation.function);
    }
    invocation.queueSequence = 0;
  }

  /** Returns whether the queue is empty. */
  public boolean isEmpty() {
    return byObjectiveDeadline.isEmpty();
  }

  /**
   * Visits the first invocation of each function, in release order, and then each next one of the
   * function as long as the visitor returns true. During the visit, the function's {@code queued}
   * counts only the invocations that were visited and remain in the queue, so that the visitor sees
   * how many are ahead of an invocation.
   *
   * @param visitor may remove the visited invocation; returns whether to visit the next one of its
   *     function
   */
  public void visitInOrder(Predicate<InvocationState> visitor) {
    PriorityQueue<InvocationState> heads = new PriorityQueue<>(RELEASE_ORDER);
    byFunction.values().forEach(sameFunction -> heads.add(sameFunction.first()));
    List<FunctionState> functions = new ArrayList<>();
    heads.forEach(head -> functions.add(head.function));
    functions.forEach(function -> function.queued = 0);
    while (!heads.isEmpty()) {
      InvocationState head = heads.poll();
      InvocationState next = next(head);
      boolean visitNext = visitor.test(head);
      head.function.queued++;
      if (next != null && visitNext) {
        heads.add(next);
      }
    }
    functions.forEach(function -> function.queued = count(function));
  }

  private InvocationState next(InvocationState invocation) {
    TreeSet<InvocationState> sameFunction = byFunction.get(invocation.function);
    return sameFunction == null ? null : sameFunction.higher(invocation);
  }

  private int count(FunctionState function) {
    TreeSet<InvocationState> sameFunction = byFunction.get(function);
    return sameFunction == null ? 0 : sameFunction.size();
  }

  /**
   * Returns the expired invocations in release order.
   *
   * @param answerAt the earliest time at which an answer could arrive; an invocation whose {@code
   *     objectiveDeadline} is before it has expired
   * @param now an invocation whose {@code queueUntil} is before it has expired, too, unless a load
   *     was ordered for it
   */
  public List<InvocationState> expired(Moment answerAt, Moment now) {
    List<InvocationState> expired = new ArrayList<>(0);
    for (InvocationState invocation : byObjectiveDeadline) {
      if (!answerAt.isAfter(invocation.objectiveDeadline)) {
        break;
      }
      expired.add(invocation);
    }
    for (InvocationState invocation : byQueueUntil) {
      if (!now.isAfter(invocation.queueUntil)) {
        break;
      }
      if (!answerAt.isAfter(invocation.objectiveDeadline) && invocation.loadOrderedAt == null) {
        expired.add(invocation);
      }
    }
    expired.sort(RELEASE_ORDER);
    return expired;
  }
}
