package flintlead.testing.simulation;

import flintlead.testing.scenario.FaultyDisk;
import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * A simulated disk of one machine: what was synced survives a loss of power, a rename that was not
 * synced survives it or not. By script it is full or corrupts what is written.
 */
final class VirtualDisk implements FaultyDisk {

  /** Files as they would be found after a loss of power now. */
  private Map<String, byte[]> durable = new HashMap<>();

  /** Files as processes see them. */
  private final Map<String, byte[]> visible = new HashMap<>();

  private final Random random;
  private boolean full;
  private boolean corrupting;

  VirtualDisk(long seed) {
    // Random's first draws from neighbouring seeds are alike.
    random = new Random(new SplittableRandom(seed).nextLong());
  }

  @Override
  public byte[] read(String name) {
    byte[] bytes = visible.get(name);
    return bytes == null ? null : bytes.clone();
  }

  @Override
  public void writeSynced(String name, byte[] bytes) throws IOException {
    if (full) {
      // What there was room for is written, as on a real disk.
      byte[] part = Arrays.copyOf(bytes, random.nextInt(bytes.length + 1));
      visible.put(name, part);
      durable.put(name, part);
      throw new IOException("no space left on device");
    }
    byte[] written = bytes.clone();
    if (corrupting && written.length > 0) {
      written[random.nextInt(written.length)] ^= (byte) (1 << random.nextInt(8));
    }
    visible.put(name, written);
    durable.put(name, written);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    byte[] bytes = visible.remove(from);
    if (bytes == null) {
      throw new IOException(from + ": no such file");
    }
    visible.put(to, bytes);
  }

  @Override
  public void syncDirectory() {
    durable = new HashMap<>(visible);
  }

  @Override
  public void setFull(boolean isFull) {
    full = isFull;
  }

  @Override
  public void setCorrupting(boolean isCorrupting) {
    corrupting = isCorrupting;
  }

  /** Renames that were not synced all survive, or none does. */
  @Override
  public void losePower() {
    Map<String, byte[]> survived = random.nextBoolean() ? durable : new HashMap<>(visible);
    visible.clear();
    visible.putAll(survived);
    durable = new HashMap<>(survived);
  }
}
