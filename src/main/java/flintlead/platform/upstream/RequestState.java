package flintlead.platform.upstream;

/** Lifecycle states of a {@link Request}. */
enum RequestState {
  /** Waits for a connection; nothing of it was sent. */
  QUEUED,
  /** Written to a connection: the host may have received it. */
  SENT,
  /** Its connection broke; the pool checks whether the host is still alive. */
  UNSETTLED,
  /** Its outcome is known and will be delivered in a separate event. */
  OUTCOME_KNOWN,
  /** Its outcome was delivered. */
  ENDED,
  /** Withdrawn by its owner; no outcome is delivered. */
  WITHDRAWN;

  /** Whether no further transition is possible. */
  boolean isFinal() {
    return this == ENDED || this == WITHDRAWN;
  }

  /** Whether the transition from this state to {@code next} is allowed. */
  boolean mayBecome(RequestState next) {
    return switch (this) {
      case QUEUED -> next == SENT || next == OUTCOME_KNOWN || next == WITHDRAWN;
      case SENT -> next != QUEUED && next != SENT;
      case UNSETTLED -> next == OUTCOME_KNOWN || next == WITHDRAWN;
      case OUTCOME_KNOWN -> next == ENDED || next == WITHDRAWN;
      case ENDED, WITHDRAWN -> false;
    };
  }
}
