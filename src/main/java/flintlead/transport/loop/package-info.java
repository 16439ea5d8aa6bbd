/**
 * The interfaces to the outside world: a clock with timers, byte streams and datagrams, all on one
 * event loop. They are implemented with real sockets in {@code flintlead.transport.netty} and with
 * a simulated network in {@code flintlead.testing.simulation}.
 */
package flintlead.transport.loop;
