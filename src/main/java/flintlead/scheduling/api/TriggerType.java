package flintlead.scheduling.api;

import flintlead.time.Span;

/**
 * Settings of one trigger type.
 *
 * @param latencyObjective time within which an invocation must be answered for its value to be
 *     billed
 * @param billedValue value of an invocation that is answered in time, relative to other types
 * @param effect whether the same invocation may run twice
 * @param group the hosts that recognise a repeated idempotency key
 * @param window how long these hosts recognise the key
 * @param streaming whether responses are streamed
 */
public record TriggerType(
    Span latencyObjective,
    double billedValue,
    Effect effect,
    Group group,
    Span window,
    boolean streaming) {

  /** Whether the same invocation may run twice. */
  public enum Effect {
    /** A second run is harmless. */
    IDEMPOTENT,
    /** A second run is harmless at hosts that recognise the idempotency key. */
    TOKENED,
    /** A second run is harmful. */
    NON_IDEMPOTENT
  }

  /** Hosts that recognise the idempotency key of an invocation that was sent to one of them. */
  public enum Group {
    ALL,
    ZONE,
    CELL;

    /** Returns whether both hosts belong to the same group. */
    public boolean covers(HostEntry one, HostEntry other) {
      return switch (this) {
        case ALL -> true;
        case ZONE -> one.zone() == other.zone();
        case CELL -> one.cell() == other.cell();
      };
    }
  }
}
