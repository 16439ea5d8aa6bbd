package flintlead.scheduling;

import flintlead.scheduling.state.Host;
import flintlead.scheduling.state.InvocationState;
import flintlead.scheduling.state.SchedulerState;
import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * Outlier ejection: hosts that fail, refuse connections or do not answer are sent no invocations
 * for a while.
 */
final class HostHealth {

  /**
   * Time without an answer after which a host counts as silent, in latency objectives. With a fixed
   * time all hosts would count as silent where an invocation runs for a second.
   */
  private static final double SILENCE_TIMEOUT_OBJECTIVES = 1;

  /**
   * Silent attempts after which a host is ejected where hedging is not supported, as moving an
   * invocation elsewhere then means cancelling its attempt.
   */
  private static final int SILENT_ATTEMPTS_TO_EJECT = 3;

  /** Failure rate above which a host is ejected, and the weight of a new outcome in that rate. */
  private static final double EJECTION_FAILURE_RATE = 0.45;

  private static final double FAILURE_RATE_WEIGHT = 0.2;

  /**
   * Duration of a first ejection, doubled with each consecutive one; the host is tried again after
   * it.
   */
  private static final Span BASE_EJECTION = Span.ofMillis(1500);

  private static final Span MAX_EJECTION = Span.ofMillis(8000);
  private static final int MAX_EJECTION_DOUBLINGS = 8;

  /**
   * If more than this share of the hosts is ejected, the cause is assumed to lie elsewhere, and
   * ejections are ignored.
   */
  private static final double MAX_EJECTED_SHARE = 0.5;

  private final SchedulerState state;

  HostHealth(SchedulerState state) {
    this.state = state;
  }

  /** How long an attempt may be in flight before its host can count as silent. */
  static Span silenceTimeout(InvocationState invocation) {
    return invocation.type.latencyObjective().times(SILENCE_TIMEOUT_OBJECTIVES);
  }

  /**
   * Whether the host is ejected and may be sent nothing. After the time of its ejection it gets one
   * invocation at a time as a trial, until one succeeds.
   */
  boolean isEjected(Host host) {
    double maxEjected = MAX_EJECTED_SHARE * state.hosts.listed().length;
    if (host.consecutiveEjections == 0 || state.hosts.ejectedCount() > maxEjected) {
      return false;
    }
    return state.now().isBefore(host.ejectedUntil) || host.inFlight > host.inFlightAtEjection;
  }

  void eject(Host host) {
    Moment now = state.now();
    if (now.isBefore(host.ejectedUntil)) {
      return;
    }
    int doublings = Math.min(host.consecutiveEjections, MAX_EJECTION_DOUBLINGS);
    Span ejection = BASE_EJECTION.times(1L << doublings);
    state.hosts.countEjection(host);
    host.ejectedUntil = now.plus(Span.shorter(ejection, MAX_EJECTION));
    host.inFlightAtEjection = host.inFlight;
  }

  /**
   * Counts a silent attempt and ejects its host if there have been enough; returns whether there
   * were. Without hedging more are required, because a host that this gateway rarely gets answers
   * from may just be slow.
   */
  boolean ejectIfSilent(Host host) {
    int required = state.deployment.supportsHedging() ? 1 : SILENT_ATTEMPTS_TO_EJECT;
    if (++host.silentAttempts < required) {
      return false;
    }
    eject(host);
    return true;
  }

  void recordFailure(Host host) {
    host.failureRate += FAILURE_RATE_WEIGHT * (1 - host.failureRate);
    if (host.failureRate > EJECTION_FAILURE_RATE) {
      eject(host);
    }
  }

  void recordSuccess(Host host) {
    host.failureRate -= host.failureRate * FAILURE_RATE_WEIGHT;
    state.hosts.clearEjections(host);
  }

  /** Resets the health of a host that is new or whose process has restarted. */
  void reset(Host host) {
    host.failureRate = 0;
    host.consecutiveEjections = 0;
    host.ejectedUntil = Moment.START;
  }
}
