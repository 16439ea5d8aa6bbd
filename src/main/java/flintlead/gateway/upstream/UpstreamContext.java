package flintlead.gateway.upstream;

import flintlead.routing.guard.HostSendGuard;
import flintlead.transport.dial.ConnectionBudget;
import flintlead.transport.jsonrpc.MessageReader;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Transport;
import java.util.Random;
import org.slf4j.Logger;

/**
 * What all host links of one gateway share.
 *
 * @param gatewayName the name that the gateway gives in its greeting
 * @param loop the gateway's event loop; everything in this package runs on it
 * @param transport opens connections
 * @param reader parses the hosts' messages
 * @param limits bounds of connections and queues
 * @param budget limits the rate of new connections
 * @param quota the connections to all hosts together
 * @param guard decides at the moment of writing whether new work may leave
 * @param random drawn from for request ids and backoff
 * @param log the gateway's log
 */
public record UpstreamContext(
    String gatewayName,
    EventExecutor loop,
    Transport transport,
    MessageReader reader,
    UpstreamLimits limits,
    ConnectionBudget budget,
    ConnectionQuota quota,
    HostSendGuard guard,
    Random random,
    Logger log) {}
