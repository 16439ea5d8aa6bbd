package flintlead.scheduling.lease;

import flintlead.time.Span;

/** Hears of changes that an operator should see. */
public interface LeaseListener {

  /** A listener that does nothing. */
  LeaseListener NONE =
      new LeaseListener() {
        @Override
        public void listStale(Span age) {}

        @Override
        public void listCurrent(Span staleFor) {}

        @Override
        public void hostChanged(long host, boolean usable, HostProof by) {}
      };

  /**
   * The host list no longer renews leases.
   *
   * @param age since the list was last confirmed; since the gateway's start where it never was
   */
  void listStale(Span age);

  /**
   * The host list renews all leases again.
   *
   * @param staleFor how long it did not
   */
  void listCurrent(Span staleFor);

  /** While the list is stale, a host was proven to take new work, or no longer is. */
  void hostChanged(long host, boolean usable, HostProof by);
}
