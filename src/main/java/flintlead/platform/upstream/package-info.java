/**
 * Upstream side of the gateway: pooled connections to hosts and the line protocol that they use.
 *
 * <p>A {@link flintlead.platform.upstream.Request} is passed to the {@link
 * flintlead.platform.upstream.ConnectionPool} of its host, waits there for a connection, is written
 * to that connection, and ends with exactly one outcome unless it is withdrawn. All classes here
 * are used on the event loop's thread only.
 */
package flintlead.platform.upstream;
