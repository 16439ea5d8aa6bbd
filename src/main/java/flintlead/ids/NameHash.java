package flintlead.ids;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Hashes names to numbers: the first half of the x64 128-bit MurmurHash3, truncated to the widths
 * that gateways exchange. The hash walk of each function depends on the numbers, so the hash must
 * never change.
 */
public final class NameHash {

  private static final long HOST_BITS = 0xffff_ffffL;
  private static final long FUNCTION_BITS = 0xff_ffff_ffffL;

  private NameHash() {}

  /** Returns the 32-bit number of a host. */
  public static long host(String name) {
    return hash("host:" + name) & HOST_BITS;
  }

  /** Returns the 40-bit number of a function. */
  public static long function(String name) {
    return hash("fn:" + name) & FUNCTION_BITS;
  }

  /** Returns the 64-bit number of an invocation's token. */
  public static long token(String token) {
    return hash("token:" + token);
  }

  private static long hash(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
  }
}
