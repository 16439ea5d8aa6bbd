package flintlead.membership.swim;

import flintlead.membership.swim.GossipMessage.Kind;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Composes and sends messages, with as many updates of members as fit. After the updates that are
 * queued, members follow in turn, so that a member that was cut off learns of all in time without a
 * transfer of the whole state. Not thread-safe.
 */
final class MessageSender {

  /** Messages of one answer to a member that joins. */
  private static final int MAX_MEMBER_PAGES = 64;

  /** Room of a message for members in turn. */
  private static final int MAX_ROTATION_BYTES = GossipCodec.MAX_BYTES / 4;

  private static final long INITIAL_SEQUENCE_MASK = 0xffffffffL;

  private final Membership membership;
  private final DisseminationQueue updates;
  private final Swim.SwimContext context;
  private final Swim.SwimCounters counters;
  private final Random random;
  private long lastSequence;

  /** Name of the member that was sent last in turn. */
  private String rotationPosition = "";

  MessageSender(
      Membership membership,
      DisseminationQueue updates,
      Swim.SwimContext context,
      Swim.SwimCounters counters,
      Random random) {
    this.membership = membership;
    this.updates = updates;
    this.context = context;
    this.counters = counters;
    this.random = random;
    this.lastSequence = random.nextLong() & INITIAL_SEQUENCE_MASK;
  }

  /** A sequence number that no message of this member has had. */
  long nextSequence() {
    return ++lastSequence;
  }

  /**
   * Sends a message about no other member.
   *
   * @param first updates that go before those that are queued
   */
  void send(Kind kind, Member recipient, long sequence, List<Member> first) {
    send(kind, recipient, sequence, "", first);
  }

  /**
   * Sends a message with updates.
   *
   * @param subject name of the member that it is about; empty for none
   * @param first updates that go before those that are queued
   */
  void send(Kind kind, Member recipient, long sequence, String subject, List<Member> first) {
    Member self = membership.self();
    List<Member> content = new ArrayList<>(first);
    // Always: a recipient that does not know the sender yet could not answer.
    content.add(self);
    int room =
        GossipCodec.MAX_BYTES - GossipCodec.headerSize(self.name(), subject, 0) - sizeOf(content);
    List<Member> queued = updates.take(room, membership.others().size() + 1);
    content.addAll(queued);
    addRotation(content, room - sizeOf(queued));
    transmit(recipient.address(), GossipMessage.of(kind, sequence, self.name(), subject, content));
  }

  private static int sizeOf(List<Member> members) {
    return members.stream().mapToInt(GossipCodec::encodedSize).sum();
  }

  /** Fills what is left of a message with members in turn. */
  private void addRotation(List<Member> content, int room) {
    int left = Math.min(room, MAX_ROTATION_BYTES);
    for (int i = 0; i < membership.others().size(); i++) {
      Member next = membership.following(rotationPosition);
      left -= GossipCodec.encodedSize(next);
      if (left < 0) {
        return;
      }
      rotationPosition = next.name();
      content.add(next);
    }
  }

  /** Sends a message with this member as its only update. */
  void sendSelf(Kind kind, String address) {
    Member self = membership.self();
    transmit(address, GossipMessage.of(kind, nextSequence(), self.name(), "", List.of(self)));
  }

  /** Sends a message with a payload and without updates. */
  void sendPayload(Kind kind, Member recipient, byte[] payload) {
    String sender = membership.self().name();
    transmit(
        recipient.address(),
        new GossipMessage(kind, nextSequence(), sender, "", List.of(), payload));
  }

  /** Sends all members, in as many messages as that takes, up to a bound. */
  void sendAllMembers(Member recipient) {
    Member self = membership.self();
    List<Member> all = new ArrayList<>(membership.others());
    all.add(self);
    Collections.shuffle(all, random);
    int position = 0;
    for (int pages = 0; position < all.size() && pages < MAX_MEMBER_PAGES; pages++) {
      List<Member> page = pageFrom(all, position);
      position += page.size();
      transmit(
          recipient.address(),
          GossipMessage.of(Kind.MEMBER_PAGE, nextSequence(), self.name(), "", page));
    }
  }

  private List<Member> pageFrom(List<Member> all, int position) {
    int room = GossipCodec.MAX_BYTES - GossipCodec.headerSize(membership.self().name(), "", 0);
    int end = position;
    while (end < all.size() && GossipCodec.encodedSize(all.get(end)) <= room) {
      room -= GossipCodec.encodedSize(all.get(end));
      end++;
    }
    return all.subList(position, end);
  }

  private void transmit(String address, GossipMessage message) {
    counters.sent++;
    context.send(address, message);
  }
}
