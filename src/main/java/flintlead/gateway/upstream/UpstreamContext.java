package flintlead.gateway.upstream;

import flintlead.routing.admission.SharedByteLimit;
import flintlead.routing.guard.HostSendGuard;
import flintlead.transport.dial.AddressSelector.FailureKind;
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
 * @param partialMessages the messages that hosts have not ended yet, over all connections
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
    SharedByteLimit<Connection> partialMessages,
    HostSendGuard guard,
    Random random,
    Logger log) {

  /** Creates the dependencies of a gateway that has no connections yet. */
  public static UpstreamContext of(
      String gatewayName,
      EventExecutor loop,
      Transport transport,
      UpstreamLimits limits,
      ConnectionQuota quota,
      HostSendGuard guard,
      Random random,
      Logger log) {
    return new UpstreamContext(
        gatewayName,
        loop,
        transport,
        new MessageReader(),
        limits,
        new ConnectionBudget(limits.totalConnections(), limits.connectsPerSecond()),
        quota,
        new SharedByteLimit<>(limits.partialMessageBytes()),
        guard,
        random,
        log);
  }

  /**
   * Records the memory of a message that has not ended. Above the limit, the connections whose
   * messages began first fail: hosts write a message at once.
   */
  void recordPartialMessage(Connection connection, int bytes) {
    partialMessages.record(connection, bytes);
    while (partialMessages.isExceeded()) {
      Connection longest = partialMessages.longestHolder();
      partialMessages.record(longest, 0);
      longest.fail(FailureKind.RESET, "unfinished messages of all hosts take too much memory");
    }
  }
}
