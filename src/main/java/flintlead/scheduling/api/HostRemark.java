package flintlead.scheduling.api;

/**
 * Information on loads and concurrency that a host adds to an answer.
 *
 * @param note note code of the wire protocol
 * @param concurrency number of other invocations of the function in flight at the host
 */
public record HostRemark(int note, int concurrency) {

  private static final int NOTE_BITS = 3;
  private static final int NOTE_MASK = (1 << NOTE_BITS) - 1;
  private static final int LOAD_STARTED = 2;
  private static final int LOAD_FAILED = 4;

  /**
   * Decodes the wire format: the note in the lowest three bits, the concurrency in the bits above.
   */
  public static HostRemark decode(int remark) {
    return new HostRemark(remark & NOTE_MASK, remark >> NOTE_BITS);
  }

  /** Returns whether the invocation started a load. */
  public boolean loadStarted() {
    return note == LOAD_STARTED;
  }

  /** Returns whether the load that the invocation needed failed. */
  public boolean loadFailed() {
    return note == LOAD_FAILED;
  }

  /** Returns whether the invocation started a load, waited for one, or needed one that failed. */
  public boolean loadInvolved() {
    return note >= LOAD_STARTED;
  }
}
