/**
 * Admission control, before an invocation reaches the scheduler: decides which invocations are
 * admitted, when a connection is read, whether a new connection is accepted, and when a client that
 * does not read its responses is disconnected.
 *
 * <p>Pure: no I/O, no clock, no threads.
 */
package flintlead.routing.admission;
