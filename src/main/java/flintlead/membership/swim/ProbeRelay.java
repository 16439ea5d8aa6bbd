package flintlead.membership.swim;

import flintlead.membership.swim.GossipMessage.Kind;
import flintlead.time.Moment;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Probes that this member sends for others, whose own probes were not answered (SWIM 4.1; with
 * negative acknowledgements, Lifeguard 3.1). Bounded: beyond the bound requests are ignored. Not
 * thread-safe.
 */
final class ProbeRelay {

  private static final int MAX_RELAYS = 256;

  /** The oldest are forgotten down to this number: what is acknowledged later is not passed on. */
  private static final int KEPT_RELAYS = MAX_RELAYS / 2;

  /** Part of the probe timeout after which the requester is told that there is no answer yet. */
  private static final double NACK_AFTER = 0.8;

  private static final class Relay {
    final String requester;

    /** The sequence number of the requester's own probe. */
    final long requesterSequence;

    final Moment nackAt;
    boolean nackSent;

    Relay(String requester, long requesterSequence, Moment nackAt) {
      this.requester = requester;
      this.requesterSequence = requesterSequence;
      this.nackAt = nackAt;
    }
  }

  private final ProbeSchedule schedule;
  private final Membership membership;
  private final MessageSender sender;

  /** By the sequence number of the relayed probe, the oldest first. */
  private final Map<Long, Relay> relays = new LinkedHashMap<>();

  ProbeRelay(ProbeSchedule schedule, Membership membership, MessageSender sender) {
    this.schedule = schedule;
    this.membership = membership;
    this.sender = sender;
  }

  /** Probes a member for another. */
  void relay(Member requester, long requesterSequence, Member target, Moment now) {
    if (relays.size() >= MAX_RELAYS) {
      return;
    }
    long sequence = sender.nextSequence();
    Moment nackAt = now.plus(schedule.probeTimeout().times(NACK_AFTER));
    relays.put(sequence, new Relay(requester.name(), requesterSequence, nackAt));
    sender.send(Kind.PING, target, sequence, List.of());
  }

  /**
   * Passes an acknowledgement on to the member that asked for the probe, where it was a relayed
   * one.
   */
  void acknowledged(long sequence) {
    Relay relay = relays.remove(sequence);
    if (relay != null) {
      respond(relay, Kind.ACK);
    }
  }

  /** Tells requesters whose probes are unanswered that this member itself is well. */
  void sendDueNacks(Moment now) {
    for (Relay relay : List.copyOf(relays.values())) {
      if (!relay.nackSent && !now.isBefore(relay.nackAt)) {
        respond(relay, Kind.NACK);
        // An acknowledgement that comes later is still passed on, for as long as it may matter.
        relay.nackSent = true;
      }
    }
    Iterator<Relay> oldest = relays.values().iterator();
    while (relays.size() > KEPT_RELAYS) {
      oldest.next();
      oldest.remove();
    }
  }

  private void respond(Relay relay, Kind kind) {
    Member requester = membership.get(relay.requester);
    if (requester != null) {
      sender.send(kind, requester, relay.requesterSequence, List.of());
    }
  }

  /** The earlier of that moment and the next one at which a negative acknowledgement is due. */
  Moment nextDeadline(Moment latest) {
    Moment next = latest;
    for (Relay relay : relays.values()) {
      next = relay.nackSent ? next : Moment.earlier(next, relay.nackAt);
    }
    return next;
  }

  int size() {
    return relays.size();
  }
}
