/**
 * Fair queueing: decides which of the sockets that have something to read is served next, by the
 * processing time that each has received. No I/O, no clock and no threads.
 */
package flintlead.transport.fair;
