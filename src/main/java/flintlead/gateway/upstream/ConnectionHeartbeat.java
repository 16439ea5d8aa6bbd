package flintlead.gateway.upstream;

import flintlead.time.Moment;
import flintlead.transport.dial.Heartbeat;

/** The heartbeat of one connection: the unanswered ping, and whether the host is suspect. */
final class ConnectionHeartbeat {

  private static final long NO_PING = -1;

  private final Heartbeat heartbeat = new Heartbeat();
  private long pingId = NO_PING;
  private boolean suspect;

  /** Whether a ping has been sent and not yet answered. */
  boolean isPinging() {
    return pingId >= 0;
  }

  /** Whether the host has been silent for longer than a live host would be. */
  boolean isSuspect() {
    return suspect;
  }

  /** Records that a request was sent, to which a response is now due. */
  void requestSent(Moment now) {
    heartbeat.requestSent(now);
  }

  /** Records that a ping with the given id was sent. */
  void pingSent(long id, Moment now) {
    pingId = id;
    heartbeat.pingSent(now);
  }

  /**
   * Records that the host answered a ping or a request: it is no longer suspect.
   *
   * @return whether it answered the unanswered ping
   */
  boolean answerReceived(long id, Moment now) {
    suspect = false;
    boolean pong = takePong(id, now);
    if (!pong) {
      heartbeat.received(now);
    }
    return pong;
  }

  /** Records that the host answered the greeting. */
  void responseReceived(Moment now) {
    heartbeat.received(now);
  }

  private boolean takePong(long id, Moment now) {
    if (!isPinging() || id != pingId) {
      return false;
    }
    pingId = NO_PING;
    heartbeat.pongReceived(now);
    return true;
  }

  /**
   * Updates whether the host is suspect, from how long it has been silent.
   *
   * @param awaiting whether any request is in flight on the connection
   * @return whether a ping is due
   */
  boolean check(Moment now, boolean awaiting) {
    Heartbeat.Verdict verdict = heartbeat.check(now, awaiting);
    suspect = verdict == Heartbeat.Verdict.SUSPECT;
    if (verdict != Heartbeat.Verdict.SEND_PING) {
      return false;
    }
    pingId = NO_PING;
    return true;
  }

  /** Since when a response is due and none was received; null if none is due. */
  Moment silentSince() {
    return heartbeat.silentSince();
  }

  /** When the host last answered on this connection. */
  Moment receivedAt() {
    return heartbeat.lastReceivedAt();
  }

  /** Whether anything was received on this connection after the moment; false for null. */
  boolean receivedAfter(Moment moment) {
    return moment != null && heartbeat.lastReceivedAt().isAfter(moment);
  }
}
