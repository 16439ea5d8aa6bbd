package flintlead.platform.upstream;

import flintlead.time.Span;

/**
 * Limits of the connections to hosts.
 *
 * @param maxConnections maximum connections to all hosts together
 * @param maxRequestsPerConnection maximum requests in flight on one connection
 * @param maxResponseBytes maximum bytes of a response's body
 * @param partialResponseBytes maximum bytes that responses received in part occupy, over all
 *     connections
 * @param connectTimeout maximum time for opening a connection
 * @param hostIdleTimeout time after which the host closes an idle connection
 * @param drainGrace time after the beginning of a drain during which the host may still receive new
 *     requests
 */
public record HostConnectionLimits(
    int maxConnections,
    int maxRequestsPerConnection,
    int maxResponseBytes,
    long partialResponseBytes,
    Span connectTimeout,
    Span hostIdleTimeout,
    Span drainGrace) {}
