package flintlead.gateway.upstream;

import flintlead.routing.guard.HostSendGuard;
import flintlead.transport.dial.ConnectionBudget;
import flintlead.transport.jsonrpc.MessageReader;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Transport;
import java.util.Random;
import org.slf4j.Logger;

/**
 * Dependencies shared by all host links of one gateway.
 *
 * @param gatewayName the gateway's name in its greetings
 * @param loop the gateway's event loop, on which all code of this package runs
 * @param transport opens connections
 * @param reader parses the hosts' messages
 * @param limits limits of connections and queues
 * @param budget limits the rate of new connections
 * @param quota the connections to all hosts together
 * @param guard decides, when a request is about to be written, whether new work may be sent
 * @param random source of random bits for request ids and backoff
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
