/**
 * Load on real sockets: the throughput of a gateway, and what it adds to the latency of a response.
 */
package flintlead.testing.load;
