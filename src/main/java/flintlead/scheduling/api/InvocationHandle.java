package flintlead.scheduling.api;

import flintlead.time.Span;

/** Receives the events of one submitted invocation. */
public interface InvocationHandle {

  /**
   * An attempt ended. Further calls for the same attempt are ignored.
   *
   * @param attempt number of the attempt, from 0
   * @param elapsed time since the attempt was sent
   * @param answered whether the client already has its final answer
   * @param remark the encoded {@link HostRemark} of the host
   * @param report the host's load figures in the order of {@link Deployment#reportNames}; may be
   *     empty
   */
  void attemptEnded(
      int attempt, Outcome outcome, Span elapsed, boolean answered, int remark, float[] report);

  /** The streamed response of an attempt began. */
  void responseStarted(int attempt, Span elapsed);

  /** The client disconnected. */
  void clientDisconnected();

  /**
   * Gives the final answer now, as the gateway is stopping; does nothing if it was already given.
   */
  void abandon();

  /** Returns whether no further events can follow, so that the handle may be dropped. */
  boolean isFinished();
}
