package flintlead.membership.transfer;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The transfer of one partition, a half of the functions, page by page from one peer at a time. A
 * peer that does not respond, is busy or has just started is replaced by another, with which the
 * transfer goes on from where it stopped. Not thread-safe.
 */
final class PartitionTransfer {

  private final int partition;
  private final StateTransferClient.TransferTimeouts timeouts;
  private final Random random;

  /** The peer that is asked; null where none is chosen. */
  private String peer;

  /** Peers that were of no use, not to be asked again before all others were. */
  private final Set<String> excludedPeers = new HashSet<>();

  private TransferPosition position = TransferPosition.START;

  /** The request that waits for its response; null for none. */
  private StatePageRequest outstanding;

  private Moment requestedAt;

  /** Requests in a row that the peer has left without a response. */
  private int timedOutRequests;

  /** When to go on; null for at once. */
  private Moment dueAt;

  private boolean done;

  /**
   * @param partition 0 or 1, the lowest bit of the functions' numbers
   */
  PartitionTransfer(int partition, StateTransferClient.TransferTimeouts timeouts, Random random) {
    this.partition = partition;
    this.timeouts = timeouts;
    this.random = random;
  }

  /** Whether all observations of the partition have been received, or enough of them. */
  boolean isDone() {
    return done;
  }

  /** Ends the transfer. */
  void finish() {
    done = true;
  }

  /** The peer that is asked; empty where none is, or the transfer is done. */
  Optional<String> activePeer() {
    return done ? Optional.empty() : Optional.ofNullable(peer);
  }

  /** There are other peers to ask: a transfer that waits for nothing else goes on at once. */
  void peersChanged() {
    if (peer == null && excludedPeers.isEmpty()) {
      dueAt = null;
    }
  }

  /** Whether it has to go on now: the next page is due, or the response to the last request. */
  boolean isDue(Moment now) {
    return !done && (dueAt == null || !now.isBefore(dueAt));
  }

  /** The earlier of that moment and the one at which this has to go on. */
  Moment nextDeadline(Moment latest) {
    return done || dueAt == null ? latest : Moment.earlier(latest, dueAt);
  }

  // ---- requests ----

  /**
   * The next request, for the {@link #activePeer}; empty where there is nobody to ask.
   *
   * @param peers names of those that can be asked
   * @param otherPeer the peer of the other partition, which is asked only where there is no other
   */
  Optional<StatePageRequest> nextRequest(
      List<String> peers, Optional<String> otherPeer, LongSupplier requestIds, Moment now) {
    countTimeout();
    if (peer == null || !peers.contains(peer)) {
      peer = choosePeer(peers, otherPeer);
      timedOutRequests = 0;
    }
    if (peer == null) {
      // All were asked, or none is known yet: after a while those that were of no use may be of
      // some.
      excludedPeers.clear();
      dueAt = now.plus(timeouts.retryDelay().times(1 + random.nextDouble()));
      return Optional.empty();
    }
    outstanding = StatePageRequest.from(position, partition, requestIds.getAsLong());
    requestedAt = now;
    dueAt = now.plus(timeouts.pageTimeout().times(1L << timedOutRequests));
    return Optional.of(outstanding);
  }

  private void countTimeout() {
    if (outstanding == null) {
      return;
    }
    outstanding = null;
    timedOutRequests++;
    if (timedOutRequests >= timeouts.attemptsPerPeer()) {
      excludePeer();
    }
  }

  private void excludePeer() {
    excludedPeers.add(peer);
    peer = null;
  }

  /** By chance; null for none. */
  private String choosePeer(List<String> peers, Optional<String> otherPeer) {
    List<String> candidates = new ArrayList<>(peers);
    candidates.removeAll(excludedPeers);
    Collections.shuffle(candidates, random);
    if (candidates.size() > 1) {
      otherPeer.ifPresent(candidates::remove);
    }
    return candidates.isEmpty() ? null : candidates.get(0);
  }

  // ---- responses ----

  /** Whether a response with that id, from that peer, belongs to the request that waits. */
  boolean awaits(long requestId, String sender) {
    return outstanding != null && outstanding.requestId() == requestId && sender.equals(peer);
  }

  /** The peer can't respond with observations. */
  void rejected(StatePage.Kind reason, Moment now) {
    responded();
    excludePeer();
    dueAt =
        reason == StatePage.Kind.BUSY
            ? now.plus(timeouts.retryDelay().times(random.nextDouble()))
            : now;
  }

  private void responded() {
    outstanding = null;
    timedOutRequests = 0;
  }

  /**
   * Takes over a page that was waited for.
   *
   * @return its observations, older by the time since the request; empty where they are out of
   *     order or of another partition, so that nothing of that peer is believed
   */
  Optional<List<InstanceObservation>> accept(StatePage page, Moment now) {
    responded();
    dueAt = now;
    // All of the round trip, as nobody knows how much of it was the way back: too old is the safe
    // side.
    Span roundTrip = now.since(requestedAt);
    List<InstanceObservation> received = new ArrayList<>();
    TransferPosition reached = position;
    for (InstanceObservation observation : page.observations()) {
      if ((observation.function() & 1) != partition || !reached.isBefore(observation)) {
        excludePeer();
        return Optional.empty();
      }
      reached = TransferPosition.behind(observation);
      received.add(observation.agedBy(roundTrip));
    }
    position = reached;
    done = page.kind() == StatePage.Kind.LAST;
    return Optional.of(received);
  }
}
