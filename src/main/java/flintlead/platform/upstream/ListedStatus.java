package flintlead.platform.upstream;

/** What the endpoint list says of a pool's host, and which of its drains is under way. */
final class ListedStatus {

  private enum Status {
    ACTIVE,
    /** Gets no new request; may become active again. */
    DRAINING,
    /** Not listed any more, for good. */
    REMOVED
  }

  private Status status = Status.ACTIVE;

  /** Counts the drains: a host may drain, become active and drain again. */
  private int drains;

  boolean isActive() {
    return status == Status.ACTIVE;
  }

  /** The host takes part again. */
  void activate() {
    status = Status.ACTIVE;
  }

  /** The host drains; returns whether a drain begins with that. */
  boolean drain() {
    return isActive() && begin(Status.DRAINING);
  }

  /** The host has left the list; returns whether a drain begins with that. */
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

  /** The number of the drain that is under way, or of the last one. */
  int drainNumber() {
    return drains;
  }

  /** Whether that drain is still under way. */
  boolean isInDrain(int number) {
    return !isActive() && drains == number;
  }
}
