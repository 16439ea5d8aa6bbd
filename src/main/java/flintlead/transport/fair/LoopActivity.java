package flintlead.transport.fair;

import flintlead.time.Span;

/**
 * With whom an event loop spent its time during a period.
 *
 * @param longestTurn the longest time for which the loop worked between two polls of its sockets
 * @param cutTurns turns that ended with sockets left unserved
 * @param busiestPeer the peer that took most of the time, for logs; null if none was served
 * @param busiestPeerTime the time that it took
 * @param busiestGroup the group of that peer, for logs
 */
public record LoopActivity(
    Span longestTurn,
    long cutTurns,
    String busiestPeer,
    Span busiestPeerTime,
    String busiestGroup) {

  /** Nothing was done. */
  public static final LoopActivity NONE = new LoopActivity(Span.ZERO, 0, null, Span.ZERO, null);
}
