/**
 * Transfer of observations to a gateway that has just started: from other gateways, page by page
 * ({@code StateTransferClient} asks, {@code StateTransferServer} serves within limits), and from
 * its own last process ({@code ObservationFile}).
 *
 * <p>Pure: no I/O, no clock, no thread; random sources are passed in.
 */
package flintlead.membership.transfer;
