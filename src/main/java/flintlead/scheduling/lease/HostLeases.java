package flintlead.scheduling.lease;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether new work, an attempt or a load order, may be sent to a host. The right to do so
 * is a lease. While the host list is current it renews the leases of all its hosts. When it is not,
 * a host is sent new work only for a part of the drain grace after a proof of its own: a probe that
 * it answered as alive, or work that it took on and served. A proof holds for the time when it was
 * asked for, as the host may have begun to drain right after it answered.
 *
 * <p>So nothing new goes to a host that drains later than the grace after the gateway counts as
 * notified, whatever has become of discovery. All times are given by the caller.
 *
 * <p>Not thread-safe.
 */
public final class HostLeases {

  /** A gateway that starts waits so long for its first word of discovery before it complains. */
  private static final Span START_PATIENCE = Span.ofMillis(2_000);

  private final LeaseTerms terms;
  private final LeaseListener listener;
  private final boolean listIsAuthoritative;
  private final ListLease list;
  private final Map<Long, HostLease> hosts = new HashMap<>();
  private final Map<RefusalReason, Integer> refusals = new EnumMap<>(RefusalReason.class);

  /** When the list was first found stale since it was last current; null while it is current. */
  private Moment staleSince;

  private Moment firstCheckAt;

  /** Creates leases of a host list that nobody has confirmed yet. */
  public HostLeases(LeaseTerms terms, LeaseListener listener) {
    this(terms, listener, false);
  }

  private HostLeases(LeaseTerms terms, LeaseListener listener, boolean listIsAuthoritative) {
    this.terms = terms;
    this.listener = listener;
    this.listIsAuthoritative = listIsAuthoritative;
    this.list = new ListLease(terms);
  }

  /** Leases that never end: whoever gives the host list answers for it being current. */
  public static HostLeases ofAuthoritativeList() {
    return new HostLeases(new LeaseTerms(Span.ZERO, false, 1), LeaseListener.NONE, true);
  }

  // ---- the host list ----

  /**
   * The list held everything at that time.
   *
   * @param asOf the earliest time at which what shows that may have been written
   */
  public void listConfirmed(Moment asOf) {
    list.confirmed(asOf);
  }

  /** The connection to discovery broke, at that time at the earliest. */
  public void listBroken(Moment at) {
    list.broken(at);
  }

  /** Whether the list renews the leases of all its hosts. */
  public boolean isListCurrent(Moment now) {
    return listIsAuthoritative || list.isCurrent(now);
  }

  /** Reports a list that has become stale or current; to be called regularly. */
  public void checkList(Moment now) {
    firstCheckAt = firstCheckAt == null ? now : firstCheckAt;
    boolean current = isListCurrent(now);
    Span age = list.age(now, firstCheckAt);
    if (!current && staleSince == null && age.isLongerThan(START_PATIENCE)) {
      staleSince = now;
      listener.listStale(age);
    } else if (current && staleSince != null) {
      listener.listCurrent(now.since(staleSince));
      staleSince = null;
      hosts.values().forEach(HostLease::listCurrent);
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
    return refusal(lease, now) == null ? SendPermission.AFTER_PROBE : SendPermission.REFUSED;
  }

  /** Why a host whose lease has ended can't be probed; null where it can. */
  private RefusalReason refusal(HostLease lease, Moment now) {
    if (!terms.probesAllowed()) {
      return RefusalReason.PROBES_FORBIDDEN;
    }
    if (lease.isProbing()) {
      return null;
    }
    if (lease.isPaused(now)) {
      return RefusalReason.PROBE_DENIED;
    }
    return lease.hasProbeLeft(now) ? null : RefusalReason.PROBE_LIMIT;
  }

  /** Whether the host's lease holds, so that new work for it needs no probe. */
  public boolean holds(long host, Moment now) {
    return isListCurrent(now) || lease(host).holds(now);
  }

  private HostLease lease(long host) {
    return hosts.computeIfAbsent(host, key -> new HostLease(terms));
  }

  /** The host took new work, or said that it does, when it was asked at that time. */
  public void proven(long host, Moment askedAt, HostProof by, Moment now) {
    HostLease lease = lease(host);
    if (lease.prove(askedAt)) {
      report(host, lease, true, by, now);
    }
  }

  /** The host turned new work away: it may drain. */
  public void turnedAway(long host, Moment now) {
    HostLease lease = lease(host);
    lease.end();
    report(host, lease, false, HostProof.TURNED_AWAY, now);
  }

  /** No connection to the host could be opened: another process may live there from now on. */
  public void unreachable(long host, Moment now) {
    HostLease lease = lease(host);
    lease.unreachable(now);
    report(host, lease, false, HostProof.UNREACHABLE, now);
  }

  /** The list says that the host's process is new, or that the host is gone. */
  public void forget(long host) {
    hosts.remove(host);
  }

  private void report(long host, HostLease lease, boolean usable, HostProof by, Moment now) {
    if (!isListCurrent(now) && lease.isNews(usable)) {
      listener.hostChanged(host, usable, by);
    }
  }

  // ---- probes ----

  /** Begins a probe of the host if one may be sent; {@link #probeEnded} must follow. */
  public boolean beginProbe(long host, Moment now) {
    HostLease lease = lease(host);
    RefusalReason refusal = refusal(lease, now);
    if (refusal != null) {
      refused(refusal);
      return false;
    }
    lease.probeSent();
    return true;
  }

  /**
   * The probe ended.
   *
   * @param askedAt when it was sent
   * @param result that it proved, or why it proved nothing
   */
  public void probeEnded(long host, Moment askedAt, HostProof result, Moment now) {
    HostLease lease = lease(host);
    lease.probeEnded();
    if (result == HostProof.PROBE) {
      proven(host, askedAt, HostProof.PROBE, now);
    } else {
      lease.probeFailed(now);
      report(host, lease, false, result, now);
    }
  }

  // ---- restarts that nobody told of ----

  /**
   * When the host's process may have started, where the list can't tell: the first proof after it
   * could not be reached, or the present where there is none yet.
   *
   * @return {@link Moment#START} where nothing speaks of a restart
   */
  public Moment presumedStart(long host, Moment now) {
    HostLease lease = listIsAuthoritative ? null : hosts.get(host);
    if (lease == null || !isInDoubt(lease, now)) {
      return Moment.START;
    }
    return lease.provenAgainAt() == null ? now : lease.provenAgainAt();
  }

  /** Whether the process that lives at the host's address is the one that the list means. */
  public boolean isIdentityKnown(long host, Moment now) {
    HostLease lease = listIsAuthoritative ? null : hosts.get(host);
    return lease == null || !isInDoubt(lease, now);
  }

  private boolean isInDoubt(HostLease lease, Moment now) {
    return !isListCurrent(now)
        && lease.unreachableAt() != null
        && !list.wasConfirmedSince(lease.unreachableAt());
  }

  // ---- figures ----

  /** New work was not sent, for that reason. */
  public void refused(RefusalReason reason) {
    refusals.merge(reason, 1, Integer::sum);
  }

  /** How often new work was not sent, by reason, since the last call. */
  public Map<RefusalReason, Integer> takeRefusals() {
    Map<RefusalReason, Integer> taken = new EnumMap<>(refusals);
    refusals.clear();
    return taken;
  }
}
