package flintlead.routing.guard;

import flintlead.scheduling.lease.HostLeases;
import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * The guard through which every attempt and every load order goes at the moment of writing: new
 * work leaves only for a host whose lease holds then. {@link HostLeases} decides; what leaves
 * against its word is counted as a violation.
 */
public final class HostSendGuard {

  /** What has left may have been overtaken by the end of the lease by so much. */
  private static final Span WRITE_SLACK = Span.ofMillis(100);

  private final HostLeases leases;
  private final InvariantMonitor monitor;

  /** Creates a guard that reports violations to the monitor. */
  public HostSendGuard(HostLeases leases, InvariantMonitor monitor) {
    this.leases = leases;
    this.monitor = monitor;
  }

  /** A guard of a gateway whose host list is always current. */
  public static HostSendGuard ofAuthoritativeList(InvariantMonitor monitor) {
    return new HostSendGuard(HostLeases.ofAuthoritativeList(), monitor);
  }

  /** Counts violations. */
  public InvariantMonitor monitor() {
    return monitor;
  }

  /** Decides about hosts. */
  public HostLeases leases() {
    return leases;
  }

  /**
   * Whether new work may leave for the host now.
   *
   * @param clock read at the moment of writing
   */
  public SendVerdict maySend(long host, Moment clock) {
    return switch (leases.permission(host, clock)) {
      case GRANTED -> SendVerdict.SEND;
      case AFTER_PROBE -> SendVerdict.PROVE_FIRST;
      case REFUSED -> SendVerdict.UNPROVEN;
    };
  }

  /**
   * New work was handed to the kernel; checks what can't be undone any more.
   *
   * @param id of the request
   * @param clock read after that
   */
  public void sent(long host, String id, Moment clock) {
    if (!leases.holds(host, clock.minus(WRITE_SLACK))) {
      monitor.violated(Invariant.LEASE_BEFORE_NEW_WORK, id, "to host " + host);
    }
  }
}
