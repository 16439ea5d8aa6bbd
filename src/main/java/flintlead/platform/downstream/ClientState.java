package flintlead.platform.downstream;

/** Lifecycle state of a {@link ClientConnection}. */
enum ClientState {
  /** Waiting for a request, or receiving one. */
  READY,
  /** An invocation is in flight; requests that the client pipelines behind it are refused. */
  BUSY,
  /** Closed; there is no further transition. */
  CLOSED;

  /** Whether the transition from this state to the next is allowed. */
  boolean mayBecome(ClientState next) {
    return switch (this) {
      case READY -> next == BUSY || next == CLOSED;
      case BUSY -> next == READY || next == CLOSED;
      case CLOSED -> false;
    };
  }
}
