package flintlead.scheduling.lease;

import flintlead.time.Span;

/** Receives changes of the host list and of hosts that an operator should see. */
public interface LeaseListener {

  /** A listener that does nothing. */
  LeaseListener NONE =
      new LeaseListener() {
        @Override
        public void listStale(Span age) {}

        @Override
        public void listCurrent(Span staleFor) {}

        @Override
        public void hostChanged(long host, boolean usable, HostEvidence by) {}
      };

  /**
   * The host list has become stale and no longer renews leases.
   *
   * @param age time since the list was last confirmed; if it never was, since the gateway's start
   */
  void listStale(Span age);

  /**
   * The host list is current and renews all leases again.
   *
   * @param staleFor how long the list was stale
   */
  void listCurrent(Span staleFor);

  /**
   * The host has become usable or unusable for new work while the host list is stale.
   *
   * @param by the evidence for it
   */
  void hostChanged(long host, boolean usable, HostEvidence by);
}
