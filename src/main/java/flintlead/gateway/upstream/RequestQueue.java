package flintlead.gateway.upstream;

import flintlead.routing.guard.SendVerdict;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.PollClock;
import flintlead.transport.loop.PollRetry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/** Bounded queue of requests that wait for a connection to one host, oldest first. */
final class RequestQueue {

  private final int capacity;
  private final EventExecutor loop;
  private final ConnectionSet connections;
  private final Dialer dialer;
  private final HostLeaseGate leaseGate;
  private final Deque<Exchange> requests = new ArrayDeque<>();

  /** Requests set aside until the sockets were polled, so that they do not hold up others. */
  private final Deque<Exchange> deferred = new ArrayDeque<>();

  /** Sends requests that wait for the next poll of the sockets. */
  private final PollRetry sendAfterPoll;

  /**
   * Creates an empty queue.
   *
   * @param send sends a request, or queues it
   * @param withdraw ends a request without an outcome
   */
  RequestQueue(
      UpstreamContext context,
      ConnectionSet connections,
      Dialer dialer,
      Consumer<Exchange> send,
      Consumer<Exchange> withdraw,
      String hostName) {
    this.capacity = context.limits().pendingRequests();
    this.loop = context.loop();
    this.connections = connections;
    this.dialer = dialer;
    this.sendAfterPoll = new PollRetry(loop, this::sendDeferred);
    this.leaseGate = new HostLeaseGate(hostName, context, send, withdraw);
  }

  boolean isFull() {
    return requests.size() + deferred.size() + leaseGate.waiting() >= capacity;
  }

  boolean isEmpty() {
    return requests.isEmpty() && deferred.isEmpty();
  }

  void add(Exchange request) {
    requests.add(request);
  }

  /** Removes the request; returns whether it was queued or waited for a probe. */
  boolean remove(Exchange request) {
    return requests.remove(request) || deferred.remove(request) || leaseGate.remove(request);
  }

  /** Drops all requests without ending them. */
  void clear() {
    requests.clear();
    deferred.clear();
    leaseGate.clear();
  }

  /** Sends requests while a connection accepts them, and ends those that may not be sent at all. */
  void sendAll() {
    while (!requests.isEmpty()) {
      Connection best = connections.best();
      if (best == null) {
        return;
      }
      switch (verdict(requests.peek())) {
        case SEND -> best.send(requests.poll());
        case POLL_FIRST -> {
          deferred.add(requests.poll());
          sendAfterPoll.schedule();
        }
        case PROBE_FIRST, UNPROVEN -> leaseGate.await(requests.poll());
        default ->
            endLater(requests.poll(), Outcome.WITHDRAWN, "its client no longer waits for it");
      }
    }
  }

  /** Queues a request that has a connection but may not be sent yet, and runs the queue. */
  void queueUntilAllowed(Exchange request, String hostName) {
    if (isFull()) {
      endLater(request, Outcome.FULL, "too many requests wait for a connection to " + hostName);
    } else {
      add(request);
      sendAll();
    }
  }

  /** Whether the request may be sent now. */
  SendVerdict verdict(Exchange request) {
    PollClock polls = loop.polls();
    Moment clock = polls.readClock();
    SendVerdict verdict = request.maySend(polls.deliveredUpTo(), clock);
    return verdict == SendVerdict.SEND && request.isNewWork() ? leaseGate.maySend(clock) : verdict;
  }

  /** Records that the host answered a request. */
  void answered(Exchange request, Outcome outcome) {
    leaseGate.answered(request, outcome);
  }

  private void sendDeferred() {
    while (!deferred.isEmpty()) {
      requests.addFirst(deferred.pollLast());
    }
    sendAll();
  }

  /**
   * After a connection ended: dials if requests wait, and fails them if the host is unreachable.
   */
  void redial(String hostName) {
    if (!isEmpty() && !dialer.isStopped()) {
      dialer.dialNext();
      failIfUnreachable(hostName);
    }
  }

  /** Fails all requests if there is no connection and no address may be dialled now. */
  void failIfUnreachable(String hostName) {
    if (connections.isEmpty() && !isEmpty() && !dialer.mayDialNow()) {
      ExchangeResult unreachable =
          ExchangeResult.unanswered(
              Outcome.CONNECT_FAILED, hostName + " can't be reached at any address");
      removeAll().forEach(request -> request.end(unreachable));
    }
  }

  /** The host has left the list: ends all requests, each in a separate event. */
  void retire(Outcome outcome, String reason) {
    leaseGate.retire();
    removeAll().forEach(request -> endLater(request, outcome, reason));
  }

  /** Ends a request in a separate event; does not remove it from the queue. */
  void endLater(Exchange request, Outcome outcome, String reason) {
    loop.scheduleAt(loop.now(), () -> request.end(ExchangeResult.unanswered(outcome, reason)));
  }

  private List<Exchange> removeAll() {
    List<Exchange> removed = new ArrayList<>(deferred);
    removed.addAll(requests);
    removed.addAll(leaseGate.takeWaiting());
    deferred.clear();
    requests.clear();
    return removed;
  }
}
