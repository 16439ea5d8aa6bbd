package flintlead.membership.swim;

import java.util.List;

/**
 * A message between members.
 *
 * @param kind what it is
 * @param sequence matches a response to its request; chosen by the sender of the request
 * @param sender the sender's name
 * @param subject name of the member that an indirect probe is for; empty in any other message
 * @param updates updates of members, the most important first
 * @param payload payload of messages that the membership protocol only carries; empty in any other
 */
public record GossipMessage(
    Kind kind, long sequence, String sender, String subject, List<Member> updates, byte[] payload) {

  /** Kinds of messages. They are sent by their ordinal: new ones go to the end. */
  public enum Kind {
    /** A probe, to be acknowledged. */
    PING,
    /** Acknowledges a probe. */
    ACK,
    /** Asks for a probe of another member. */
    INDIRECT_PING,
    /**
     * Reports that an indirect probe is not acknowledged yet, and that the sender itself is well.
     */
    NACK,
    /** A new member asks for all members. */
    JOIN,
    /** Some of all members; also the last message of one that leaves. */
    MEMBER_PAGE,
    /** Gossip between the schedulers of two gateways. */
    SCHEDULER_GOSSIP,
    /** A request for a page of observations. */
    STATE_PAGE_REQUEST,
    /** A page of observations. */
    STATE_PAGE
  }

  /** The longest gossip of schedulers, in bytes. */
  public static final int MAX_GOSSIP_BYTES = 256;

  /** The longest page of observations, in bytes. */
  public static final int MAX_STATE_PAGE_BYTES = 960;

  /**
   * @throws IllegalArgumentException when the payload is longer than its kind allows
   */
  public GossipMessage {
    updates = List.copyOf(updates);
    int maxBytes = kind == Kind.STATE_PAGE ? MAX_STATE_PAGE_BYTES : MAX_GOSSIP_BYTES;
    if (payload.length > maxBytes) {
      throw new IllegalArgumentException(
          "a payload of " + payload.length + " bytes; at most " + maxBytes + " may be sent");
    }
  }

  /** A message without a payload. */
  static GossipMessage of(
      Kind kind, long sequence, String sender, String subject, List<Member> updates) {
    return new GossipMessage(kind, sequence, sender, subject, updates, new byte[0]);
  }
}
