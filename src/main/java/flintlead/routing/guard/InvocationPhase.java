package flintlead.routing.guard;

/** The phases of an invocation from its client's point of view. */
public enum InvocationPhase {
  /** Accepted and not answered yet. */
  OPEN,
  /** Its final answer was sent. */
  ANSWERED,
  /** Its client has disconnected or cancelled it: no answer is due. */
  CLIENT_GONE;

  /** Whether the transition to the next phase is allowed. */
  boolean canTransitionTo(InvocationPhase next) {
    return this == OPEN && next != OPEN;
  }
}
