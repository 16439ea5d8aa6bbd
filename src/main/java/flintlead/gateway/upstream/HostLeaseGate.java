package flintlead.gateway.upstream;

import flintlead.ids.NameHash;
import flintlead.routing.guard.HostSendGuard;
import flintlead.routing.guard.SendVerdict;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.lease.HostEvidence;
import flintlead.scheduling.lease.HostLeases;
import flintlead.scheduling.lease.RefusalReason;
import flintlead.time.Moment;
import flintlead.transport.jsonrpc.MessageWriter;
import flintlead.transport.loop.EventExecutor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Guards new work for one link's host by the host's lease. Reports to {@link HostLeases} what the
 * host's responses prove, and holds requests until a probe has renewed the lease. At most one probe
 * is in progress.
 */
final class HostLeaseGate {

  private final long host;
  private final UpstreamContext context;
  private final HostSendGuard guard;
  private final HostLeases leases;
  private final EventExecutor loop;
  private final Consumer<Exchange> send;
  private final Consumer<Exchange> withdraw;
  private final Deque<Exchange> waiting = new ArrayDeque<>();
  private Probe probe;
  private boolean retired;

  /**
   * Creates an instance without waiting requests.
   *
   * @param send sends a request, or queues it
   * @param withdraw ends a request without an outcome
   */
  HostLeaseGate(
      String hostName,
      UpstreamContext context,
      Consumer<Exchange> send,
      Consumer<Exchange> withdraw) {
    this.host = NameHash.host(hostName);
    this.context = context;
    this.guard = context.guard();
    this.leases = guard.leases();
    this.loop = context.loop();
    this.send = send;
    this.withdraw = withdraw;
  }

  /** Whether new work may be sent at the given time. */
  SendVerdict maySend(Moment clock) {
    return guard.maySend(host, clock);
  }

  /** Reports to the leases that the host answered a request, if the request was new work. */
  void answered(Exchange exchange, Outcome outcome) {
    if (retired || !exchange.isNewWork()) {
      return;
    }
    if (outcome == Outcome.OK) {
      leases.recordProof(host, exchange.sentAt(), HostEvidence.SERVED, loop.now());
    } else if (outcome == Outcome.FULL) {
      leases.recordRejection(host, loop.now());
    }
  }

  /** The host has left the list: discards its lease and ignores later responses. */
  void retire() {
    retired = true;
    leases.forget(host);
  }

  int waiting() {
    return waiting.size();
  }

  boolean remove(Exchange exchange) {
    return waiting.remove(exchange);
  }

  void clear() {
    waiting.clear();
  }

  /** Removes and returns all waiting requests. */
  List<Exchange> takeWaiting() {
    List<Exchange> taken = List.copyOf(waiting);
    waiting.clear();
    return taken;
  }

  /**
   * Holds the request until a probe renews the lease; ends it if no probe is allowed or it fails.
   */
  void await(Exchange exchange) {
    waiting.add(exchange);
    if (probe == null) {
      beginProbe();
    }
  }

  private void beginProbe() {
    if (!leases.beginProbe(host, loop.now())) {
      endWaiting(Outcome.UNPROVEN, "nothing proves that the host takes new work");
      return;
    }
    Probe begun = new Probe();
    probe = begun;
    loop.scheduleAfter(context.limits().connectTimeout(), () -> timeOut(begun));
    send.accept(begun);
  }

  private void timeOut(Probe late) {
    if (!late.hasEnded()) {
      withdraw.accept(late);
      probeEnded(late, HostEvidence.PROBE_UNANSWERED, RefusalReason.PROBE_UNANSWERED);
    }
  }

  private void probeEnded(Probe ended, HostEvidence result, RefusalReason reason) {
    if (probe != ended) {
      return;
    }
    probe = null;
    Moment askedAt = ended.sentAt() == null ? loop.now() : ended.sentAt();
    leases.probeEnded(host, askedAt, result, loop.now());
    if (result == HostEvidence.PROBE) {
      takeWaiting().forEach(send);
    } else {
      leases.recordRefusal(reason);
      boolean unreachable = reason == RefusalReason.UNREACHABLE;
      endWaiting(unreachable ? Outcome.CONNECT_FAILED : Outcome.UNPROVEN, reason.key());
    }
  }

  private void endWaiting(Outcome outcome, String why) {
    for (Exchange exchange : takeWaiting()) {
      loop.scheduleAt(loop.now(), () -> exchange.end(ExchangeResult.unanswered(outcome, why)));
    }
  }

  /** Asks the host whether it takes new work; a draining host answers with an error. */
  private final class Probe extends Exchange {

    @Override
    protected String method() {
      return "probe";
    }

    @Override
    protected void params(MessageWriter frame) {
      // The probe method has no parameters.
    }

    @Override
    protected void ended(ExchangeResult result) {
      switch (result.outcome()) {
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
