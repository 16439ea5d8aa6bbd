package flintlead.transport.fair;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Accounts that share the processing time of one group, such as all connections that one listening
 * socket has accepted. Not thread-safe.
 */
public final class ServiceGroup {

  /** One account that is ready, with what is to be served for it. */
  record Entry(ServiceAccount account, Object item) {}

  private final String name;
  private final VirtualShare share = new VirtualShare();

  /** The ready accounts of the present turn. */
  private final PriorityQueue<Entry> ready =
      new PriorityQueue<>(
          Comparator.<Entry>comparingLong(entry -> entry.account().share().expectedFinish())
              .thenComparingLong(entry -> entry.account().lastServed()));

  /** No account that is left unserved starts before this virtual time. */
  private long virtualTime;

  private long earliestStart;

  /**
   * Creates a group that was not served yet.
   *
   * @param name for logs
   */
  public ServiceGroup(String name) {
    this.name = name;
  }

  /** The group's name, for logs. */
  public String name() {
    return name;
  }

  /** The group's share of the whole time. */
  VirtualShare share() {
    return share;
  }

  /** Adds a ready account; returns whether it is the first one of the turn. */
  boolean add(ServiceAccount account, Object item, long turn) {
    boolean first = ready.isEmpty();
    account.share().ready(virtualTime, turn);
    account.share().expectFirstCost(share.expectedCost());
    earliestStart = first ? account.share().start() : earlierStart(account);
    ready.add(new Entry(account, item));
    return first;
  }

  private long earlierStart(ServiceAccount account) {
    return Math.min(earliestStart, account.share().start());
  }

  /** All ready accounts of the turn were added. */
  void turnBegins() {
    virtualTime = Math.max(virtualTime, earliestStart);
  }

  Entry poll() {
    return ready.poll();
  }

  boolean isReady() {
    return !ready.isEmpty();
  }

  void clear() {
    ready.clear();
  }
}
