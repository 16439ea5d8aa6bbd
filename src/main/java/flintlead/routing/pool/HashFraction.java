package flintlead.routing.pool;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Maps names evenly to the interval from 0 (inclusive) to 1 (exclusive). The result depends on the
 * name and the salt only, so that all gateways agree on it. Each kind of decision has its own salt;
 * with a common salt, the decisions about one name would be correlated.
 */
enum HashFraction {
  /** Which of two layouts routes a function during a transition. */
  TRANSITION(0x51ed270b),
  /** Which target of a split route is taken. */
  SPLIT(0x2545f491),
  /** Whether an unavailable or failing pool spills a function. */
  SPILL(0x1b873593),
  /** Whether a pool accepts a function that another pool spills. */
  ACCEPT(0x0e6546b6);

  private static final int MANTISSA_SHIFT = Long.SIZE - 53;
  private static final double MANTISSA_STEP = 0x1p-53;

  private final int salt;

  HashFraction(int salt) {
    this.salt = salt;
  }

  /** Returns the fraction of the name, from 0 to below 1. */
  double of(String name) {
    byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
    long hash = MurmurHash3.hash128x64(bytes, 0, bytes.length, salt)[0];
    return (hash >>> MANTISSA_SHIFT) * MANTISSA_STEP;
  }
}
