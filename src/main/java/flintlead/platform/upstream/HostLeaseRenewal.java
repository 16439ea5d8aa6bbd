package flintlead.platform.upstream;

import flintlead.routing.guard.HostSendGuard;
import flintlead.routing.guard.SendVerdict;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.lease.HostEvidence;
import flintlead.scheduling.lease.HostLeases;
import flintlead.scheduling.lease.RefusalReason;
import flintlead.time.Moment;
import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Renews the lease of one pool's host: reports the host's responses to {@link HostLeases}, and
 * holds the requests that wait until a probe has renewed the lease. At most one probe is in flight.
 * Used on the event loop only.
 */
final class HostLeaseRenewal {

  private static final int TAG_RADIX = 36;

  private final ConnectionPool pool;
  private final long host;
  private final HostSendGuard guard;
  private final HostLeases leases;
  private final Deque<Request> waiting = new ArrayDeque<>(QueuedRequests.INITIAL_CAPACITY);
  private Probe probe;

  /** Number of probes so far; makes their tags unique. */
  private long probes;

  HostLeaseRenewal(ConnectionPool pool, long host, HostSendGuard guard) {
    this.pool = pool;
    this.host = host;
    this.guard = guard;
    this.leases = guard.leases();
  }

  // ---- checks before and after sending ----

  /** Whether new work may be sent at this time. */
  SendVerdict maySend(Moment clock) {
    return guard.maySend(host, clock);
  }

  /**
   * Checks the lease once more after new work was handed to the kernel, at {@code clock} at the
   * latest.
   */
  void sent(String id, Moment clock) {
    guard.checkSent(host, id, clock);
  }

  /**
   * Whether the lease is valid now. Once it has ended, requests that were already written must not
   * reach the host any more either.
   */
  boolean isLeaseValid() {
    return leases.hasLease(host, pool.now());
  }

  // ---- lease updates ----

  /** Updates the lease after the host answered new work that was sent at {@code sentAt}. */
  void answered(Outcome outcome, Moment sentAt) {
    if (!pool.isActive()) {
      return;
    }
    if (outcome == Outcome.OK) {
      leases.recordProof(host, sentAt, HostEvidence.SERVED, pool.now());
    } else if (outcome == Outcome.FULL) {
      leases.recordRejection(host, pool.now());
    }
  }

  /** Called when no connection to the host could be opened. */
  void unreachable() {
    if (pool.isActive()) {
      leases.recordUnreachable(host, pool.now());
    }
  }

  /**
   * Called when the last connection to the host broke. If the host list is not current, it cannot
   * report a restart, so the host is probed at once: a process that has ended refuses connections
   * only until its successor has started.
   */
  void lastConnectionBroke() {
    if (pool.isActive() && probe == null && !leases.isListCurrent(pool.now())) {
      beginProbe();
    }
  }

  // ---- requests that wait for a probe ----

  boolean isEmpty() {
    return waiting.isEmpty() && probe == null;
  }

  int waitingCount() {
    return waiting.size();
  }

  /**
   * Holds the request until a probe has renewed the lease. If no probe may be sent, all held
   * requests end as unproven.
   */
  void awaitProbe(Request request) {
    waiting.add(request);
    if (probe == null) {
      beginProbe();
    }
  }

  boolean remove(Request request) {
    return waiting.remove(request);
  }

  private void beginProbe() {
    if (!leases.beginProbe(host, pool.now())) {
      endWaiting(Outcome.UNPROVEN);
      return;
    }
    Probe begun = new Probe("p" + Long.toString(probes++, TAG_RADIX));
    probe = begun;
    pool.loop().scheduleAfter(pool.pools().limits().connectTimeout(), () -> timeOut(begun));
    pool.submit(begun);
  }

  private void timeOut(Probe late) {
    if (!late.isOver()) {
      pool.withdraw(late);
      probeEnded(late, HostEvidence.PROBE_UNANSWERED, RefusalReason.PROBE_UNANSWERED);
    }
  }

  private void probeEnded(Probe ended, HostEvidence result, RefusalReason reason) {
    if (probe != ended) {
      return;
    }
    probe = null;
    leases.probeEnded(host, ended.sentAtOrNow(), result, pool.now());
    if (result == HostEvidence.PROBE) {
      pool.sendAfterProbe(removeWaiting());
    } else {
      leases.recordRefusal(reason);
      boolean unreachable = reason == RefusalReason.UNREACHABLE;
      endWaiting(unreachable ? Outcome.CONNECT_FAILED : Outcome.UNPROVEN);
    }
  }

  private void endWaiting(Outcome outcome) {
    removeWaiting().forEach(request -> pool.endLater(request, outcome));
  }

  /** Removes and returns all requests that wait for a probe. */
  List<Request> removeWaiting() {
    List<Request> taken = List.copyOf(waiting);
    waiting.clear();
    return taken;
  }

  /** Asks whether the host is alive and accepts new work. */
  private final class Probe extends Request {

    Probe(String tag) {
      super(tag, null);
    }

    /** When the probe was sent; the current time if it was not sent. */
    Moment sentAtOrNow() {
      return wasWritten() ? sentAt() : pool.now();
    }

    @Override
    protected void write(ByteBuf out) {
      HostProtocol.writeLivenessProbe(out, tag());
    }

    @Override
    protected boolean isCancellable() {
      return false;
    }

    @Override
    protected void ended(Outcome outcome, ResponseFields fields, ByteBuf body) {
      switch (outcome) {
        case OK -> probeEnded(this, HostEvidence.PROBE, null);
        case CONNECT_FAILED, RESET ->
            probeEnded(this, HostEvidence.UNREACHABLE, RefusalReason.UNREACHABLE);
        case CONNECTION_LOST, WITHDRAWN ->
            probeEnded(this, HostEvidence.PROBE_UNANSWERED, RefusalReason.PROBE_UNANSWERED);
        default -> probeEnded(this, HostEvidence.PROBE_DENIED, RefusalReason.PROBE_DENIED);
      }
    }
  }
}
