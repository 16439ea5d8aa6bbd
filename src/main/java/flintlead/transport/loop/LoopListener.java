package flintlead.transport.loop;

import flintlead.time.Span;

/** Notified on an event loop's thread of long times between two polls of its sockets. */
public interface LoopListener {

  /** Ignores them. */
  LoopListener NONE = length -> {};

  /**
   * The thread did not run. Called before anything is delivered that the sockets have received
   * meanwhile.
   *
   * @param length how long the thread did not look at its sockets
   */
  void stoodStill(Span length);

  /**
   * The thread was busy.
   *
   * @param length how long the thread did not look at its sockets
   * @param processorTime that it used
   * @param slowestPeer the peer whose read took the longest, for logs
   */
  default void busy(Span length, Span processorTime, String slowestPeer) {}
}
