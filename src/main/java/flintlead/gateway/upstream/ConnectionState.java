package flintlead.gateway.upstream;

import java.util.EnumSet;
import java.util.Set;

/**
 * State of a {@link Connection}.
 *
 * <pre>
 *   CONNECTING -> READY -> DRAINING -> CLOSED
 *   CONNECTING -> CLOSED
 *   READY -> CLOSED
 * </pre>
 */
enum ConnectionState {
  /** Being opened, or open and waiting for the host's greeting. */
  CONNECTING,
  /** The greeting was accepted; new requests may be sent. */
  READY,
  /** Takes no new requests and closes when the last request in flight has ended. */
  DRAINING,
  /** Closed or failed; the final state. */
  CLOSED;

  private static final Set<ConnectionState> AFTER_CONNECTING = EnumSet.of(READY, CLOSED);
  private static final Set<ConnectionState> AFTER_READY = EnumSet.of(DRAINING, CLOSED);

  /**
   * Returns the next state, after checking that the transition is allowed.
   *
   * @throws IllegalStateException if the transition is not allowed
   */
  ConnectionState to(ConnectionState next) {
    boolean allowed =
        switch (this) {
          case CONNECTING -> AFTER_CONNECTING.contains(next);
          case READY -> AFTER_READY.contains(next);
          case DRAINING -> next == CLOSED;
          case CLOSED -> false;
        };
    if (!allowed) {
      throw new IllegalStateException("connection state can't change from " + this + " to " + next);
    }
    return next;
  }

  /** Whether the greeting was accepted and the connection is not closed. */
  boolean isEstablished() {
    return this == READY || this == DRAINING;
  }
}
