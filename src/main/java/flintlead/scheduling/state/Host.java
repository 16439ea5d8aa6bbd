package flintlead.scheduling.state;

import flintlead.scheduling.api.HostEntry;
import flintlead.time.Moment;
import flintlead.time.TokenBucket;
import java.util.LinkedHashSet;
import java.util.Set;

/** What a gateway knows of one host, from its first listing on. */
public final class Host {

  public HostEntry entry;
  public boolean listed = true;

  /** The functions that have an estimate here. */
  public final Set<FunctionState> functions = new LinkedHashSet<>();

  /** Own attempts in flight. */
  public int inFlight;

  /** Own attempts that may still be sent while the host is warming up. */
  public TokenBucket slowStartTokens;

  /** Own attempts that may be in flight; null until the host has started. */
  public AimdLimit concurrencyLimit;

  /** Moving average of the latency of warm answers, as a share of their objectives. */
  public double relativeLatency;

  /** No load is sent before then, as the host answered full. */
  public Moment fullUntil = Moment.START;

  public Moment lastAnswerAt = Moment.START;

  /** Attempts found without an answer for too long since the last answer. */
  public int silentAttempts;

  /** Share of failures among recent outcomes. */
  public double failureRate;

  public int consecutiveEjections;
  public Moment ejectedUntil = Moment.START;

  /** Of the attempts in flight when the host was ejected, those that still are. */
  public int inFlightAtEjection;

  /** Creates a host that has not been sent anything. */
  public Host(HostEntry entry) {
    this.entry = entry;
  }

  /** The number by which the host list names it. */
  public long id() {
    return entry.host();
  }

  /** Whether it is listed and neither draining nor gone. */
  public boolean isReady() {
    return listed && entry.state() == HostEntry.State.READY;
  }

  /** Notes that it answered. */
  public void recordAnswer(Moment now) {
    lastAnswerAt = now;
    silentAttempts = 0;
  }

  /** Sets the concurrency limit back; a decrease shortly before still delays the next. */
  public void resetConcurrencyLimit(double initial, double min, double max) {
    if (concurrencyLimit == null) {
      concurrencyLimit = new AimdLimit(initial, min, max);
    }
    concurrencyLimit.reset(initial);
  }

  /** Forgets which instances were loaded. */
  public void forgetEstimates() {
    functions.forEach(function -> function.estimates.removeIf(estimate -> estimate.host == this));
    functions.clear();
  }
}
