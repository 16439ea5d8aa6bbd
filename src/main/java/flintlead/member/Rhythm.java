package flintlead.member;

import flintlead.time.Span;

/**
 * The protocol's times and numbers.
 *
 * @param period between probes of a member in good health
 * @param answerTime for a direct answer
 * @param helpers asked to probe one that has not answered
 * @param suspicion multiple of the logarithm of the number of members, in periods, that a suspect has at least
 * @param suspicionMost multiple of that where nobody else suspects it
 * @param tells multiple of the logarithm that news are told
 * @param membersMost known at a time; more are refused
 */
public record Rhythm(Span period, Span answerTime, int helpers, int suspicion, int suspicionMost, int tells,
                     int membersMost) {

    public static final Rhythm USUAL = new Rhythm(Span.ofMillis(1_000), Span.ofMillis(300), 3, 4, 6, 4, 4_096);
}
