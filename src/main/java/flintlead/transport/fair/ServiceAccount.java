package flintlead.transport.fair;

/** The processing time that one socket has received. Not thread-safe. */
public final class ServiceAccount {

  private final ServiceGroup group;
  private final VirtualShare share = new VirtualShare();

  /** Orders accounts of the same rank: the one that was served the longest ago goes first. */
  private long lastServed;

  private long servedInPeriod;
  private long period;

  /** Creates an account that was not served yet; use {@link FairQueue#newAccount}. */
  ServiceAccount(ServiceGroup group, long createdAt) {
    this.group = group;
    this.lastServed = createdAt;
  }

  /** The group whose processing time the account shares. */
  public ServiceGroup group() {
    return group;
  }

  /** The account's share of its group's time. */
  VirtualShare share() {
    return share;
  }

  long lastServed() {
    return lastServed;
  }

  void setLastServed(long number) {
    lastServed = number;
  }

  /** Adds to the time that the account has received in the period, and returns the sum. */
  long addToPeriod(long number, long nanos) {
    if (period != number) {
      period = number;
      servedInPeriod = 0;
    }
    servedInPeriod += nanos;
    return servedInPeriod;
  }
}
