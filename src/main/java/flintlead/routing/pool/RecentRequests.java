package flintlead.routing.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Ring buffer of the most recent requests, from which the effect of a change of routes is
 * estimated. Not thread-safe.
 */
final class RecentRequests {

  private final RouteRequest[] requests;
  private long added;

  /**
   * @param capacity maximum number of requests kept
   */
  RecentRequests(int capacity) {
    this.requests = new RouteRequest[capacity];
  }

  void add(RouteRequest request) {
    requests[indexOf(added)] = request;
    added++;
  }

  /** Returns the most recent requests, newest first, at most {@code limit}. */
  List<RouteRequest> newest(int limit) {
    List<RouteRequest> newest = new ArrayList<>();
    long oldest = Math.max(0, added - Math.min(limit, requests.length));
    for (long position = added - 1; position >= oldest; position--) {
      newest.add(requests[indexOf(position)]);
    }
    return newest;
  }

  private int indexOf(long position) {
    return (int) (position % requests.length);
  }
}
