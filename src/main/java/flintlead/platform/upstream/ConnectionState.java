package flintlead.platform.upstream;

/** Lifecycle states of a {@link HostConnection}. */
enum ConnectionState {
  /** The TCP handshake is in progress; requests wait. */
  CONNECTING,
  /** Requests may be written. */
  OPEN,
  /** Closed permanently. */
  CLOSED;

  /** Whether the transition from this state to {@code next} is allowed. */
  boolean mayBecome(ConnectionState next) {
    return this == CONNECTING && next != CONNECTING || this == OPEN && next == CLOSED;
  }
}
