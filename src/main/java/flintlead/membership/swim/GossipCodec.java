package flintlead.membership.swim;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Codec of messages between members: version, kind, sequence number, sender, subject, payload, then
 * updates of members to the end. Numbers are big-endian; texts are UTF-8 behind a byte with their
 * length, the payload behind two. A message has at most {@link #MAX_BYTES} bytes, so that no
 * datagram is fragmented on the way (RFC 8085, 3.2).
 */
public final class GossipCodec {

  /** The longest message, in bytes. */
  public static final int MAX_BYTES = 1_200;

  private static final byte VERSION = 1;
  private static final int VERSION_AND_KIND_BYTES = 2;
  private static final int TEXT_LENGTH_BYTES = 1;
  private static final int STATE_BYTES = 1;

  private GossipCodec() {}

  /** Encodes a message, with as many of its updates as fit, from the first on. */
  public static byte[] encode(GossipMessage message) {
    ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);
    buffer.put(VERSION).put((byte) message.kind().ordinal()).putLong(message.sequence());
    putText(buffer, message.sender());
    putText(buffer, message.subject());
    buffer.putShort((short) message.payload().length).put(message.payload());
    for (Member member : message.updates()) {
      if (buffer.remaining() < encodedSize(member)) {
        break;
      }
      putMember(buffer, member);
    }
    byte[] encoded = new byte[buffer.position()];
    buffer.flip().get(encoded);
    return encoded;
  }

  private static void putMember(ByteBuffer buffer, Member member) {
    putText(buffer, member.name());
    putText(buffer, member.address());
    buffer
        .putInt(member.index())
        .putLong(member.incarnation())
        .put((byte) member.state().ordinal());
    if (member.state() == Member.State.SUSPECT) {
      putText(buffer, member.suspectedBy());
    }
  }

  private static void putText(ByteBuffer buffer, String text) {
    byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
    buffer.put((byte) utf8.length).put(utf8);
  }

  /** Bytes that a member takes in a message. */
  static int encodedSize(Member member) {
    int size =
        textSize(member.name())
            + textSize(member.address())
            + Integer.BYTES
            + Long.BYTES
            + STATE_BYTES;
    return member.state() == Member.State.SUSPECT ? size + textSize(member.suspectedBy()) : size;
  }

  /** Bytes of a message without updates. */
  static int headerSize(String sender, String subject, int payloadBytes) {
    return VERSION_AND_KIND_BYTES
        + Long.BYTES
        + textSize(sender)
        + textSize(subject)
        + Short.BYTES
        + payloadBytes;
  }

  private static int textSize(String text) {
    return TEXT_LENGTH_BYTES + text.getBytes(StandardCharsets.UTF_8).length;
  }

  /**
   * Decodes a message.
   *
   * @throws IllegalArgumentException when it is no message of this version; nothing of it counts
   *     then
   */
  public static GossipMessage decode(byte[] encoded) {
    if (encoded.length > MAX_BYTES) {
      throw new IllegalArgumentException(
          "a message of " + encoded.length + " bytes, over " + MAX_BYTES);
    }
    try {
      return decode(ByteBuffer.wrap(encoded));
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("a message that ends too soon", e);
    }
  }

  private static GossipMessage decode(ByteBuffer buffer) {
    int version = buffer.get();
    if (version != VERSION) {
      throw new IllegalArgumentException("a message of version " + version + ", not " + VERSION);
    }
    GossipMessage.Kind kind = constant(GossipMessage.Kind.values(), buffer.get());
    long sequence = buffer.getLong();
    String sender = getText(buffer);
    String subject = getText(buffer);
    byte[] payload = new byte[Short.toUnsignedInt(buffer.getShort())];
    buffer.get(payload);
    if (sender.isEmpty()
        || sender.length() > Member.MAX_NAME_LENGTH
        || subject.length() > Member.MAX_NAME_LENGTH) {
      throw new IllegalArgumentException("a message without a valid sender or subject");
    }
    List<Member> updates = new ArrayList<>();
    while (buffer.hasRemaining()) {
      updates.add(getMember(buffer));
    }
    return new GossipMessage(kind, sequence, sender, subject, updates, payload);
  }

  private static Member getMember(ByteBuffer buffer) {
    String name = getText(buffer);
    String address = getText(buffer);
    int index = buffer.getInt();
    long incarnation = buffer.getLong();
    Member.State state = constant(Member.State.values(), buffer.get());
    String accuser = state == Member.State.SUSPECT ? getText(buffer) : "";
    return new Member(name, address, index, incarnation, state, accuser);
  }

  private static String getText(ByteBuffer buffer) {
    byte[] utf8 = new byte[Byte.toUnsignedInt(buffer.get())];
    buffer.get(utf8);
    return new String(utf8, StandardCharsets.UTF_8);
  }

  private static <E> E constant(E[] constants, byte ordinal) {
    if (ordinal < 0 || ordinal >= constants.length) {
      throw new IllegalArgumentException("a message with an unknown kind or state " + ordinal);
    }
    return constants[ordinal];
  }
}
