package flintlead.scheduling.state;

/** Receives the events of an invocation after its submission. */
public interface InvocationListener {

  /**
   * An attempt ended; called once for each attempt. {@code answered} is true if the client has its
   * final answer.
   */
  void attemptEnded(Attempt attempt, boolean answered);

  /** The streamed response of an attempt began. */
  void responseStarted(Attempt attempt);

  /** The client disconnected. */
  void clientDisconnected(InvocationState invocation);

  /** The final answer must be given now. */
  void abandon(InvocationState invocation);
}
