package flintlead.scheduling.state;

import flintlead.scheduling.api.HostEntry;
import flintlead.time.Moment;
import flintlead.time.TokenBucket;
import java.util.LinkedHashSet;
import java.util.Set;

/** State of one host in a gateway, created when the host is first listed. */
public final class Host {

  public HostEntry entry;
  public boolean listed = true;

  /** Functions that have an estimate for this host. */
  public final Set<FunctionState> functions = new LinkedHashSet<>();

  /** This gateway's attempts in flight. */
  public int inFlight;

  /** Attempts that this gateway may still send while the host is in slow start. */
  public TokenBucket slowStartTokens;

  /**
   * Limit of this gateway's attempts in flight; null until {@link #resetConcurrencyLimit} is first
   * called.
   */
  public AimdLimit concurrencyLimit;

  /** Moving average of the latency of warm answers, relative to their latency objectives. */
  public double relativeLatency;

  /**
   * The host answered FULL; until this time it is selected neither for loads nor for warm
   * invocations.
   */
  public Moment fullUntil = Moment.START;

  public Moment lastAnswerAt = Moment.START;

  /**
   * Number of silence checks that found an attempt unanswered, since the last answer of the host.
   * An attempt may be checked more than once.
   */
  public int silentAttempts;

  /** Exponential moving average of the share of failures among outcomes. */
  public double failureRate;

  public int consecutiveEjections;
  public Moment ejectedUntil = Moment.START;

  /**
   * Attempts in flight when the host was last ejected, lowered as attempts end. A higher {@link
   * #inFlight} means that a trial invocation is in flight.
   */
  public int inFlightAtEjection;

  /** Creates the state of a host that nothing was sent to. */
  public Host(HostEntry entry) {
    this.entry = entry;
  }

  /** Returns the host's id in the host list. */
  public long id() {
    return entry.host();
  }

  /** Returns whether the host is listed and neither draining nor gone. */
  public boolean isReady() {
    return listed && entry.state() == HostEntry.State.READY;
  }

  /** Records an answer of the host, to any attempt. */
  public void recordAnswer(Moment now) {
    lastAnswerAt = now;
    silentAttempts = 0;
  }

  /**
   * Resets the concurrency limit to its initial value. An existing limit keeps its bounds and the
   * time of its last decrease, so the minimum interval between decreases still holds.
   */
  public void resetConcurrencyLimit(double initial, double min, double max) {
    if (concurrencyLimit == null) {
      concurrencyLimit = new AimdLimit(initial, min, max);
    }
    concurrencyLimit.reset(initial);
  }

  /** Removes the estimates of all functions for this host. */
  public void forgetEstimates() {
    functions.forEach(function -> function.forgetEstimateAt(this));
    functions.clear();
  }
}
