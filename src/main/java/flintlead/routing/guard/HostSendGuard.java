package flintlead.routing.guard;

import flintlead.scheduling.lease.HostLeases;
import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * Checks the lease of a host before an attempt or a load order is written to its connection: new
 * work may be sent only while the lease is valid, as {@link HostLeases} decides. Work that was sent
 * without a valid lease is counted as a violation.
 */
public final class HostSendGuard {

  /**
   * A lease that expired at most this long before the write is no violation: it may have expired
   * between the check and the write.
   */
  private static final Span WRITE_SLACK = Span.ofMillis(100);

  private final HostLeases leases;
  private final InvariantMonitor monitor;

  /** Creates a guard that reports violations to the monitor. */
  public HostSendGuard(HostLeases leases, InvariantMonitor monitor) {
    this.leases = leases;
    this.monitor = monitor;
  }

  /**
   * Creates the guard of a gateway whose host list is always current, so that every lease is valid.
   */
  public static HostSendGuard ofAuthoritativeList(InvariantMonitor monitor) {
    return new HostSendGuard(HostLeases.ofAuthoritativeList(), monitor);
  }

  /** Returns the monitor that counts violations. */
  public InvariantMonitor monitor() {
    return monitor;
  }

  /** Returns the leases of the hosts. */
  public HostLeases leases() {
    return leases;
  }

  /**
   * Decides whether new work may be sent to the host now.
   *
   * @param clock the time, read immediately before the write
   */
  public SendVerdict maySend(long host, Moment clock) {
    return switch (leases.permission(host, clock)) {
      case GRANTED -> SendVerdict.SEND;
      case AFTER_PROBE -> SendVerdict.PROBE_FIRST;
      case REFUSED -> SendVerdict.UNPROVEN;
    };
  }

  /**
   * Checks the lease again after new work was passed to the kernel and can't be recalled any more.
   * Reports a violation if the lease was not valid.
   *
   * @param id of the request, for the report
   * @param clock the time, read after the write
   */
  public void checkSent(long host, String id, Moment clock) {
    if (!leases.hasLease(host, clock.minus(WRITE_SLACK))) {
      monitor.violated(
          Invariant.LEASE_BEFORE_NEW_WORK,
          id,
          "new work sent without a valid lease to host " + host);
    }
  }
}
