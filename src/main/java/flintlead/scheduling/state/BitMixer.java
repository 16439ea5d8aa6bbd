package flintlead.scheduling.state;

/** A hash function for 64-bit integers. */
public final class BitMixer {

  private BitMixer() {}

  /**
   * Mixes the bits of a number with the finalizer of MurmurHash3. The result is the same on all
   * machines, so that all gateways order hosts alike.
   */
  public static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
