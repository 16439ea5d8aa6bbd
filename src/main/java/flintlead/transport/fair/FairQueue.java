package flintlead.transport.fair;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Fair queueing over two levels: the processing time is shared equally between the groups that have
 * something to do, and within a group between its accounts. An account that has received less than
 * its share, as one that was idle, is served before all that use their share up.
 *
 * <p>Virtual times are those of start-time fair queueing (Goyal, Vin, Cheng 1996), as the cost of a
 * service is known only once it was given. The order is by the end that a service is expected to
 * have: one that costs little does not wait for as many that cost much as there are.
 *
 * <p>Each turn adds the accounts that are ready, serves some of them, and drops the rest: they are
 * added again in the next turn with the same claim. Not thread-safe.
 *
 * @param <T> what is served for an account
 */
public final class FairQueue<T> {

  private final List<ServiceGroup> added = new ArrayList<>();
  private final PriorityQueue<ServiceGroup> ready =
      new PriorityQueue<>(Comparator.comparingLong(group -> group.share().expectedFinish()));

  /** No group that is left unserved starts before this virtual time. */
  private long virtualTime;

  private long turn = 1;
  private long served;
  private ServiceGroup.Entry inService;

  /** Creates an account, which has no claim over others that were served recently. */
  public ServiceAccount newAccount(ServiceGroup group) {
    return new ServiceAccount(group, served);
  }

  /** Adds an account that is ready in this turn, with what is to be served. */
  public void add(ServiceAccount account, T item) {
    ServiceGroup group = account.group();
    if (group.add(account, item, turn)) {
      group.share().ready(virtualTime, turn);
      added.add(group);
    }
  }

  /** Ends the additions of this turn. */
  public void beginTurn() {
    long earliest = Long.MAX_VALUE;
    for (ServiceGroup group : added) {
      group.turnBegins();
      earliest = Math.min(earliest, group.share().start());
      ready.add(group);
    }
    virtualTime = added.isEmpty() ? virtualTime : Math.max(virtualTime, earliest);
    added.clear();
  }

  /** Whether no account is left to be served in this turn. */
  public boolean isEmpty() {
    return ready.isEmpty();
  }

  /**
   * Removes the account that is to be served next, of which there must be one. {@link #charge} must
   * follow before the next one is taken.
   *
   * @return what is to be served for it
   */
  @SuppressWarnings("unchecked") // Only items of this queue are added to its groups.
  public T poll() {
    inService = ready.poll().poll();
    return (T) inService.item();
  }

  /** Charges the account that was taken last for the time that its service took. */
  public void charge(long nanos) {
    ServiceAccount account = inService.account();
    ServiceGroup group = account.group();
    account.share().charge(nanos);
    account.setLastServed(++served);
    group.share().charge(nanos);
    if (group.isReady()) {
      group.share().stillReady(turn);
      ready.add(group);
    }
  }

  /** Drops what was not served. */
  public void endTurn() {
    ready.forEach(ServiceGroup::clear);
    ready.clear();
    turn++;
  }
}
