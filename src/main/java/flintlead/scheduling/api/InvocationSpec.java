package flintlead.scheduling.api;

import flintlead.time.Span;

/**
 * Description of an invocation at its submission. Durations and sizes are zero if not given.
 *
 * @param triggerType index in {@link Deployment#triggerTypes}
 * @param customer index in {@link Deployment#customerQuotas}; any larger number if the customer has
 *     no quota
 * @param function the function's id
 * @param timeout the client's timeout, counted from the submission
 * @param workHint expected run time
 * @param hasWorkHint whether {@code workHint} was given
 * @param memoryMb memory of one instance, in megabytes
 * @param slotsPerInstance invocations that one instance runs concurrently
 * @param loadHint expected time to load an instance
 * @param clientRetry whether the client marked the invocation as a retry
 * @param pool number of the pool that serves the invocation; it is sent to no other hosts
 */
public record InvocationSpec(
    int triggerType,
    int customer,
    long function,
    Span timeout,
    Span workHint,
    boolean hasWorkHint,
    double memoryMb,
    double slotsPerInstance,
    Span loadHint,
    boolean clientRetry,
    int pool) {

  /** Returns a copy with another timeout. */
  public InvocationSpec withTimeout(Span newTimeout) {
    return new InvocationSpec(
        triggerType,
        customer,
        function,
        newTimeout,
        workHint,
        hasWorkHint,
        memoryMb,
        slotsPerInstance,
        loadHint,
        clientRetry,
        pool);
  }

  /** Creates an invocation for a deployment without pools. */
  public InvocationSpec(
      int triggerType,
      int customer,
      long function,
      Span timeout,
      Span workHint,
      boolean hasWorkHint,
      double memoryMb,
      double slotsPerInstance,
      Span loadHint,
      boolean clientRetry) {
    this(
        triggerType,
        customer,
        function,
        timeout,
        workHint,
        hasWorkHint,
        memoryMb,
        slotsPerInstance,
        loadHint,
        clientRetry,
        0);
  }
}
