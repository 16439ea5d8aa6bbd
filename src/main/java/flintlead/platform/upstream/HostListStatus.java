package flintlead.platform.upstream;

/**
 * The status of a pool's host in the host list. Numbers the drains of the host, to tell them apart.
 */
final class HostListStatus {

  private enum Status {
    ACTIVE,
    /** Receives no new requests; may become active again. */
    DRAINING,
    /** Removed from the list permanently. */
    REMOVED
  }

  private Status status = Status.ACTIVE;

  /** Number of drains so far: a host may drain, become active and drain again. */
  private int drains;

  boolean isActive() {
    return status == Status.ACTIVE;
  }

  /** Sets the status to active. */
  void activate() {
    status = Status.ACTIVE;
  }

  /** Sets the status to draining if it is active; returns whether this begins a drain. */
  boolean drain() {
    return isActive() && begin(Status.DRAINING);
  }

  /** Sets the status to removed; returns whether this begins a drain. */
  boolean remove() {
    boolean wasActive = isActive();
    status = Status.REMOVED;
    return wasActive && begin(Status.REMOVED);
  }

  private boolean begin(Status next) {
    status = next;
    drains++;
    return true;
  }

  /** The number of the current drain, or of the last one. */
  int drainNumber() {
    return drains;
  }

  /** Whether the drain with this number is still in progress. */
  boolean isInDrain(int number) {
    return !isActive() && drains == number;
  }
}
