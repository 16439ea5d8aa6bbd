package flintlead.platform.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;

/**
 * Requests that wait for a connection to one host, oldest first. Those that must wait until the
 * sockets were polled are set aside, so that they do not hold up others.
 */
final class QueuedRequests {

  /** Small, as most of a large fleet's hosts have nothing queued. */
  static final int INITIAL_CAPACITY = 1;

  private final Deque<Request> ready = new ArrayDeque<>(INITIAL_CAPACITY);
  private final Deque<Request> deferred = new ArrayDeque<>(INITIAL_CAPACITY);

  void add(Request request) {
    ready.add(request);
  }

  void addAll(Collection<Request> requests) {
    ready.addAll(requests);
  }

  /** The oldest request that may be sent; null if there is none. */
  Request peek() {
    return ready.peek();
  }

  /** Removes the oldest request that may be sent. */
  Request poll() {
    return ready.poll();
  }

  /** Whether no request may be sent now. */
  boolean isNoneReady() {
    return ready.isEmpty();
  }

  /** Sets a request aside until {@link #resumeDeferred}. */
  void defer(Request request) {
    deferred.add(request);
  }

  /** Puts the requests that were set aside before all others again. */
  void resumeDeferred() {
    while (!deferred.isEmpty()) {
      ready.addFirst(deferred.pollLast());
    }
  }

  boolean remove(Request request) {
    return ready.remove(request) || deferred.remove(request);
  }

  int size() {
    return ready.size() + deferred.size();
  }

  boolean isEmpty() {
    return size() == 0;
  }

  /** All requests, those that were set aside included. */
  List<Request> copy() {
    List<Request> all = new ArrayList<>(deferred);
    all.addAll(ready);
    return all;
  }

  /** Removes and returns all requests. */
  List<Request> removeAll() {
    List<Request> all = copy();
    deferred.clear();
    ready.clear();
    return all;
  }
}
