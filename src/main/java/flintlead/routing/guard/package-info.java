/**
 * Checks every start, attempt, final answer and end of an invocation, in both gateways. Enforces
 * the allowed transitions, limits how long ago a client's connection was last known to be open when
 * an attempt is sent, and counts violations of invariants. Pure: no I/O, no clock, no threads.
 */
package flintlead.routing.guard;
