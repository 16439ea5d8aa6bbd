package flintlead.scheduling.lease;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether new work, an attempt or a load order, may be sent to a host. The permission is a
 * lease. While the host list is current, it renews the leases of all its hosts. While it is stale,
 * a host may be sent new work only for a part of the drain grace period after a proof of its own: a
 * probe that it answered as alive, or work that it accepted and served. A proof counts from the
 * time at which its request was sent, because the host may have begun to drain right after it
 * answered.
 *
 * <p>A host that drains is thus sent no new work later than the drain grace period after the
 * gateway counts as notified, whatever the state of discovery. The caller provides all times.
 *
 * <p>Not thread-safe.
 */
public final class HostLeases {

  /**
   * A list that was never confirmed is reported as stale only after this time, so that a starting
   * gateway can get its first confirmation from discovery.
   */
  private static final Span INITIAL_CONFIRMATION_TIMEOUT = Span.ofMillis(2_000);

  private final LeaseTerms terms;
  private final LeaseListener listener;
  private final boolean listIsAuthoritative;
  private final ListLease list;
  private final Map<Long, HostLease> hosts = new HashMap<>();
  private final Map<RefusalReason, Integer> refusals = new EnumMap<>(RefusalReason.class);

  /** When the list was reported as stale; null if it has been current since. */
  private Moment staleSince;

  private Moment firstCheckAt;

  /** Creates the leases for a host list that is not confirmed yet. */
  public HostLeases(LeaseTerms terms, LeaseListener listener) {
    this(terms, listener, false);
  }

  private HostLeases(LeaseTerms terms, LeaseListener listener, boolean listIsAuthoritative) {
    this.terms = terms;
    this.listener = listener;
    this.listIsAuthoritative = listIsAuthoritative;
    this.list = new ListLease(terms);
  }

  /**
   * Returns leases that never end, for a host list whose provider is responsible for keeping it
   * current.
   */
  public static HostLeases ofAuthoritativeList() {
    return new HostLeases(new LeaseTerms(Span.ZERO, false, 1), LeaseListener.NONE, true);
  }

  // ---- the host list ----

  /**
   * Records that the host list was complete.
   *
   * @param asOf the earliest time at which the message that shows this may have been written
   */
  public void listConfirmed(Moment asOf) {
    list.confirmed(asOf);
  }

  /**
   * Records that the connection to discovery broke.
   *
   * @param at the earliest time at which it may have broken
   */
  public void discoveryDisconnected(Moment at) {
    list.broken(at);
  }

  /** Whether the host list is current, so that it renews the leases of all its hosts. */
  public boolean isListCurrent(Moment now) {
    return listIsAuthoritative || list.isCurrent(now);
  }

  /**
   * Notifies the listener if the host list has become stale or current; must be called
   * periodically.
   */
  public void notifyListChanges(Moment now) {
    firstCheckAt = firstCheckAt == null ? now : firstCheckAt;
    boolean current = isListCurrent(now);
    Span age = list.age(now, firstCheckAt);
    if (!current && staleSince == null && age.isLongerThan(INITIAL_CONFIRMATION_TIMEOUT)) {
      staleSince = now;
      listener.listStale(age);
    } else if (current && staleSince != null) {
      listener.listCurrent(now.since(staleSince));
      staleSince = null;
      hosts.values().forEach(HostLease::clearProbeHistory);
    }
  }

  // ---- hosts ----

  /** Whether new work may be sent to the host now. */
  public SendPermission permission(long host, Moment now) {
    if (isListCurrent(now)) {
      return SendPermission.GRANTED;
    }
    HostLease lease = lease(host);
    if (lease.holds(now)) {
      return SendPermission.GRANTED;
    }
    return refusalReason(lease, now) == null ? SendPermission.AFTER_PROBE : SendPermission.REFUSED;
  }

  /**
   * Why a host whose lease has ended cannot be probed; null if it can, or if a probe is in flight.
   */
  private RefusalReason refusalReason(HostLease lease, Moment now) {
    if (!terms.probesAllowed()) {
      return RefusalReason.PROBES_FORBIDDEN;
    }
    if (lease.isProbing()) {
      return null;
    }
    if (lease.isBackingOff(now)) {
      return RefusalReason.PROBE_DENIED;
    }
    return lease.hasProbeToken(now) ? null : RefusalReason.PROBE_LIMIT;
  }

  /** Whether the host's lease is valid, so that new work for it needs no probe. */
  public boolean hasLease(long host, Moment now) {
    return isListCurrent(now) || lease(host).holds(now);
  }

  private HostLease lease(long host) {
    return hosts.computeIfAbsent(host, key -> new HostLease(terms));
  }

  /**
   * Records a proof that the host accepts new work, and renews its lease unless the proof is void.
   *
   * @param askedAt when the request of the proof was sent
   * @param by what the proof is
   */
  public void recordProof(long host, Moment askedAt, HostEvidence by, Moment now) {
    HostLease lease = lease(host);
    if (lease.renew(askedAt)) {
      reportIfChanged(host, lease, true, by, now);
    }
  }

  /** Records that the host rejected new work, and ends its lease: it may be draining. */
  public void recordRejection(long host, Moment now) {
    HostLease lease = lease(host);
    lease.end();
    reportIfChanged(host, lease, false, HostEvidence.TURNED_AWAY, now);
  }

  /**
   * Records that no connection to the host could be opened, and ends its lease: from now on another
   * process may run at its address.
   */
  public void recordUnreachable(long host, Moment now) {
    HostLease lease = lease(host);
    lease.markUnreachable(now);
    reportIfChanged(host, lease, false, HostEvidence.UNREACHABLE, now);
  }

  /**
   * Removes the lease of a host that is gone, or whose process is new, according to the host list.
   */
  public void forget(long host) {
    hosts.remove(host);
  }

  private void reportIfChanged(
      long host, HostLease lease, boolean usable, HostEvidence by, Moment now) {
    if (!isListCurrent(now) && lease.recordUsable(usable)) {
      listener.hostChanged(host, usable, by);
    }
  }

  // ---- probes ----

  /**
   * Begins a probe of the host if one may be sent; returns whether it did. If so, {@link
   * #probeEnded} must follow.
   */
  public boolean beginProbe(long host, Moment now) {
    HostLease lease = lease(host);
    RefusalReason refusal = refusalReason(lease, now);
    if (refusal != null) {
      recordRefusal(refusal);
      return false;
    }
    lease.probeSent();
    return true;
  }

  /**
   * Records the end of a probe.
   *
   * @param askedAt when the probe was sent
   * @param result {@link HostEvidence#PROBE} if the host answered as alive, otherwise why nothing
   *     was proven
   */
  public void probeEnded(long host, Moment askedAt, HostEvidence result, Moment now) {
    HostLease lease = lease(host);
    lease.probeEnded();
    if (result == HostEvidence.PROBE) {
      recordProof(host, askedAt, HostEvidence.PROBE, now);
    } else {
      lease.probeFailed(now);
      reportIfChanged(host, lease, false, result, now);
    }
  }

  // ---- restarts that a stale list does not show ----

  /**
   * Returns the latest time at which the host's process may have started, if it may have restarted
   * while the list is stale: the time of the first proof after the host was unreachable, or the
   * present if there is none yet.
   *
   * @return {@link Moment#START} if nothing indicates a restart
   */
  public Moment latestPossibleStart(long host, Moment now) {
    HostLease lease = listIsAuthoritative ? null : hosts.get(host);
    if (lease == null || !isIdentityUnknown(lease, now)) {
      return Moment.START;
    }
    return lease.reachableAgainAt() == null ? now : lease.reachableAgainAt();
  }

  /** Whether the process at the host's address is known to be the one in the host list. */
  public boolean isIdentityKnown(long host, Moment now) {
    HostLease lease = listIsAuthoritative ? null : hosts.get(host);
    return lease == null || !isIdentityUnknown(lease, now);
  }

  private boolean isIdentityUnknown(HostLease lease, Moment now) {
    return !isListCurrent(now)
        && lease.unreachableAt() != null
        && !list.wasConfirmedSince(lease.unreachableAt());
  }

  // ---- counters ----

  /** Counts new work that was not sent, by reason. */
  public void recordRefusal(RefusalReason reason) {
    refusals.merge(reason, 1, Integer::sum);
  }

  /** Returns how often new work was not sent since the last call, by reason. */
  public Map<RefusalReason, Integer> takeRefusals() {
    Map<RefusalReason, Integer> taken = new EnumMap<>(refusals);
    refusals.clear();
    return taken;
  }
}
