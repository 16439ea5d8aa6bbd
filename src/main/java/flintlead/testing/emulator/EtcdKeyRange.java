package flintlead.testing.emulator;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A range of keys as etcd has it.
 *
 * @param from the first key
 * @param to the first key beyond the range; empty for a range of one key
 */
record EtcdKeyRange(byte[] from, byte[] to) {

  boolean contains(String key) {
    byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
    if (to.length == 0) {
      return Arrays.equals(bytes, from);
    }
    return Arrays.compareUnsigned(bytes, from) >= 0 && Arrays.compareUnsigned(bytes, to) < 0;
  }
}
