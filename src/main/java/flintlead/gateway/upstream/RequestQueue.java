package flintlead.gateway.upstream;

import flintlead.routing.guard.SendVerdict;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.PollClock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/** Requests that wait for a connection to one host, oldest first. Bounded. */
final class RequestQueue {

  private final int capacity;
  private final EventExecutor loop;
  private final ConnectionSet connections;
  private final Dialer dialer;
  private final LinkProofs proofs;
  private final Deque<Exchange> requests = new ArrayDeque<>();

  /** Whether what is queued waits until the sockets were looked at. */
  private boolean awaitsPoll;

  /**
   * Creates an empty queue.
   *
   * @param send sends a request to the host, or queues it
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
    this.proofs = new LinkProofs(hostName, context, send, withdraw);
  }

  boolean isFull() {
    return requests.size() + proofs.waiting() >= capacity;
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  void add(Exchange request) {
    requests.add(request);
  }

  /** Removes the request; returns whether it was queued. */
  boolean remove(Exchange request) {
    return requests.remove(request) || proofs.remove(request);
  }

  /** Drops all requests; nobody is told. */
  void clear() {
    requests.clear();
    proofs.clear();
  }

  /** Sends requests while a connection accepts them, and ends those that must never leave. */
  void sendAll() {
    while (!requests.isEmpty()) {
      Connection best = connections.best();
      if (best == null) {
        return;
      }
      switch (verdict(requests.peek())) {
        case SEND -> best.send(requests.poll());
        case LOOK_FIRST -> {
          sendAfterNextPoll();
          return;
        }
        case PROVE_FIRST, UNPROVEN -> proofs.await(requests.poll());
        default ->
            endLater(requests.poll(), Outcome.WITHDRAWN, "its client no longer waits for it");
      }
    }
  }

  /** Queues a request for which a connection is there, but not the knowledge that it may leave. */
  void sendOnceSeen(Exchange request, String hostName) {
    if (isFull()) {
      endLater(request, Outcome.FULL, "too many requests wait for a connection to " + hostName);
    } else {
      add(request);
      sendAll();
    }
  }

  /** Whether the request may leave now. */
  SendVerdict verdict(Exchange request) {
    PollClock polls = loop.polls();
    Moment clock = polls.readClock();
    SendVerdict verdict = request.maySend(polls.deliveredUpTo(), clock);
    return verdict == SendVerdict.SEND && request.isNewWork() ? proofs.maySend(clock) : verdict;
  }

  /** The host answered a request. */
  void answered(Exchange request, Outcome outcome) {
    proofs.answered(request, outcome);
  }

  /** What the sockets have received is looked at first. */
  private void sendAfterNextPoll() {
    if (!awaitsPoll) {
      awaitsPoll = true;
      loop.polls()
          .afterNextPoll(
              () -> {
                awaitsPoll = false;
                sendAll();
              });
    }
  }

  /** A connection has ended: dials another one if requests wait, or fails them. */
  void redial(String hostName) {
    if (!requests.isEmpty() && !dialer.isStopped()) {
      dialer.dialNext();
      failIfUnreachable(hostName);
    }
  }

  /** Fails all requests if there is neither a connection nor an address to dial now. */
  void failIfUnreachable(String hostName) {
    if (connections.isEmpty() && !requests.isEmpty() && !dialer.mayDialNow()) {
      ExchangeResult unreachable =
          ExchangeResult.unanswered(
              Outcome.CONNECT_FAILED, hostName + " can't be reached at any address");
      removeAll().forEach(request -> request.end(unreachable));
    }
  }

  /** The host has left the list: ends all requests, each in an event of its own. */
  void retire(Outcome outcome, String reason) {
    proofs.retire();
    removeAll().forEach(request -> endLater(request, outcome, reason));
  }

  /** Ends a request, queued or not, in an event of its own. */
  void endLater(Exchange request, Outcome outcome, String reason) {
    loop.scheduleAt(loop.now(), () -> request.end(ExchangeResult.unanswered(outcome, reason)));
  }

  private List<Exchange> removeAll() {
    List<Exchange> removed = new ArrayList<>(requests);
    removed.addAll(proofs.takeWaiting());
    requests.clear();
    return removed;
  }
}
