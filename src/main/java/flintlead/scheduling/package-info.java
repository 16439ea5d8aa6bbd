/**
 * Makes all decisions about invocations. {@link flintlead.scheduling.Scheduler} takes an invocation
 * from submission to its final answer; placement, attempt rules, host health, capacity limits and
 * release order have a class each.
 */
package flintlead.scheduling;
