package flintlead.membership.swim;

import flintlead.time.Span;

/**
 * The times and numbers of the membership protocol.
 *
 * @param probeInterval between probes of a healthy member
 * @param probeTimeout for the acknowledgement of a direct probe
 * @param indirectProbes members asked to probe one that has not acknowledged
 * @param suspicionMultiplier multiple of the logarithm of the number of members, in probe
 *     intervals, that a suspect has at least
 * @param maxSuspicionFactor multiple of that time where no other member suspects it
 * @param retransmitMultiplier multiple of the logarithm of the number of members that an update is
 *     transmitted
 * @param maxMembers members known at a time; more are ignored
 */
public record ProbeSchedule(
    Span probeInterval,
    Span probeTimeout,
    int indirectProbes,
    int suspicionMultiplier,
    int maxSuspicionFactor,
    int retransmitMultiplier,
    int maxMembers) {

  /** What holds where nothing else is configured. */
  public static final ProbeSchedule DEFAULTS =
      new ProbeSchedule(Span.ofMillis(1_000), Span.ofMillis(300), 3, 4, 6, 4, 4_096);
}
