package flintlead.membership.swim;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Authenticates messages between members by a tag before each (HMAC-SHA-256, RFC 2104, truncated to
 * 16 bytes). The first key signs, all keys verify: a new key is first added behind the old one at
 * every member, then put before it, then the old one is removed.
 *
 * <p>It does not protect against replays, which do no harm: incarnations only rise, and a repeated
 * response matches no request. Not thread-safe.
 */
public final class MessageAuthenticator {

  /** Length of the tag. */
  public static final int TAG_BYTES = 16;

  /** Length of the shortest key. */
  public static final int MIN_KEY_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final List<Mac> keys;

  /**
   * @param keys the first one signs; none for messages without tags
   * @throws IllegalArgumentException when a key is shorter than {@link #MIN_KEY_BYTES} bytes
   */
  public MessageAuthenticator(List<byte[]> keys) {
    this.keys = keys.stream().map(MessageAuthenticator::initialize).toList();
  }

  private static Mac initialize(byte[] key) {
    if (key.length < MIN_KEY_BYTES) {
      throw new IllegalArgumentException(
          "a key of " + key.length + " bytes; it needs at least " + MIN_KEY_BYTES);
    }
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }

  /** The message behind its tag; the message itself without any key. */
  public byte[] sign(byte[] message) {
    if (keys.isEmpty()) {
      return message;
    }
    byte[] signed = Arrays.copyOf(keys.get(0).doFinal(message), TAG_BYTES + message.length);
    System.arraycopy(message, 0, signed, TAG_BYTES, message.length);
    return signed;
  }

  /** Returns the message without its tag; empty where the tag was made with none of the keys. */
  public Optional<byte[]> verify(byte[] signed) {
    if (keys.isEmpty()) {
      return Optional.of(signed);
    }
    if (signed.length < TAG_BYTES) {
      return Optional.empty();
    }
    byte[] tag = Arrays.copyOf(signed, TAG_BYTES);
    byte[] message = Arrays.copyOfRange(signed, TAG_BYTES, signed.length);
    boolean verified = keys.stream().anyMatch(key -> matches(tag, key.doFinal(message)));
    return verified ? Optional.of(message) : Optional.empty();
  }

  /** In constant time: the time that it takes must not tell how much of a tag is right. */
  private static boolean matches(byte[] tag, byte[] expected) {
    return MessageDigest.isEqual(tag, Arrays.copyOf(expected, TAG_BYTES));
  }
}
