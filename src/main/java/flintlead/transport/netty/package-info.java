/**
 * The event loop and its transports on real sockets, by Netty: TCP, Unix domain sockets and UDP,
 * one thread each.
 */
package flintlead.transport.netty;
