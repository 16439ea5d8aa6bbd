package flintlead.transport.dial;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * Decides whether a connection is alive, by what is received on it while a response is outstanding.
 * Silence alone says little, as an invocation may take its time; after a short silence the host is
 * therefore pinged, which it answers beside its work. The time-out of the ping follows the
 * connection's own round-trip times (RFC 6298, section 2), between fixed limits. Not thread-safe.
 */
public final class Heartbeat {

  /** What the owner of the connection should do. */
  public enum Verdict {
    /** Nothing. */
    HEALTHY,
    /** Send a ping and report it by {@link Heartbeat#pingSent}. */
    SEND_PING,
    /** Treat the address as suspect: a ping was not answered in time. */
    SUSPECT
  }

  private static final Span PING_AFTER_SILENCE = Span.ofMillis(40);
  private static final Span MIN_PING_TIMEOUT = Span.ofMillis(30);
  private static final Span MAX_PING_TIMEOUT = Span.ofMillis(80);

  /**
   * Checks further apart than this show that this gateway stood still: what it did not read is not
   * silence.
   */
  private static final Span OWN_STALL = Span.ofMillis(60);

  /** Gain of the smoothed round-trip time, RFC 6298. */
  private static final double ROUND_TRIP_GAIN = 0.125;

  /** Gain of the round-trip time's variation, RFC 6298. */
  private static final double VARIATION_GAIN = 0.25;

  /** How many variations the time-out lies above the smoothed round-trip time, RFC 6298. */
  private static final double VARIATIONS = 4;

  /**
   * Since when something is outstanding and nothing was received; null where nothing is
   * outstanding.
   */
  private Moment awaitingSince;

  private Moment lastReceivedAt = new Moment(Long.MIN_VALUE / 2);

  /** When the outstanding ping was sent; null for none. */
  private Moment pingSentAt;

  private Moment lastCheckAt;

  /** Smoothed, in microseconds; negative until the first measurement. */
  private double roundTripMicros = -1;

  private double variationMicros;

  /** A request was sent: a response is outstanding from now on. */
  public void requestSent(Moment now) {
    if (awaitingSince == null) {
      awaitingSince = now;
    }
  }

  /** Anything was received. */
  public void received(Moment now) {
    lastReceivedAt = now;
    awaitingSince = now;
  }

  /** The response to a ping was received. */
  public void pongReceived(Moment now) {
    if (pingSentAt != null) {
      measured(now.since(pingSentAt).micros());
      pingSentAt = null;
    }
    received(now);
  }

  private void measured(double micros) {
    if (roundTripMicros < 0) {
      variationMicros = micros / 2;
      roundTripMicros = micros;
      return;
    }
    variationMicros =
        (1 - VARIATION_GAIN) * variationMicros
            + VARIATION_GAIN * Math.abs(roundTripMicros - micros);
    roundTripMicros = (1 - ROUND_TRIP_GAIN) * roundTripMicros + ROUND_TRIP_GAIN * micros;
  }

  /**
   * Checks the connection; to be called every few milliseconds.
   *
   * @param awaiting whether any request is outstanding on it
   */
  public Verdict check(Moment now, boolean awaiting) {
    boolean stalled = lastCheckAt != null && now.since(lastCheckAt).isLongerThan(OWN_STALL);
    lastCheckAt = now;
    if (!awaiting && pingSentAt == null) {
      awaitingSince = null;
      return Verdict.HEALTHY;
    }
    if (awaitingSince == null || stalled) {
      awaitingSince = now;
      pingSentAt = null;
      return Verdict.HEALTHY;
    }
    if (pingSentAt != null && lastReceivedAt.isBefore(pingSentAt)) {
      return now.since(pingSentAt).isShorterThan(pingTimeout()) ? Verdict.HEALTHY : Verdict.SUSPECT;
    }
    return now.since(awaitingSince).isShorterThan(PING_AFTER_SILENCE)
        ? Verdict.HEALTHY
        : Verdict.SEND_PING;
  }

  /** A ping was sent. */
  public void pingSent(Moment now) {
    pingSentAt = now;
    awaitingSince = awaitingSince == null ? now : awaitingSince;
  }

  /** How long the response to a ping may take. */
  public Span pingTimeout() {
    if (roundTripMicros < 0) {
      return MAX_PING_TIMEOUT;
    }
    Span estimate = new Span((long) (roundTripMicros + VARIATIONS * variationMicros));
    return Span.shorter(MAX_PING_TIMEOUT, Span.longer(MIN_PING_TIMEOUT, estimate));
  }

  /**
   * Since when something is outstanding and nothing was received; null where nothing is
   * outstanding.
   */
  public Moment silentSince() {
    return awaitingSince;
  }

  /** When anything was received last; the distant past where nothing was. */
  public Moment lastReceivedAt() {
    return lastReceivedAt;
  }
}
