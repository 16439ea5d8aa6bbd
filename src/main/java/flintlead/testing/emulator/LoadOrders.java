package flintlead.testing.emulator;

import flintlead.gateway.upstream.HostErrorCodes;
import flintlead.time.Moment;
import flintlead.transport.jsonrpc.JsonMembers;
import flintlead.transport.jsonrpc.MessageId;
import flintlead.transport.loop.EventExecutor;

/**
 * Accepts gateways' load orders and answers them once the instances are loaded. On the host's loop.
 */
final class LoadOrders {

  private static final int MAX_INSTANCES = 16;

  private final String host;
  private final EventExecutor loop;
  private final ProcessState process;
  private final InstanceLoader loader;
  private final ExecutionLog log;

  LoadOrders(
      String host,
      EventExecutor loop,
      ProcessState process,
      InstanceLoader loader,
      ExecutionLog log) {
    this.host = host;
    this.loop = loop;
    this.process = process;
    this.loader = loader;
    this.log = log;
  }

  /** An order has arrived; with 0 instances it only asks how many are loaded. */
  void arrived(
      EmulatedHostConnection connection, MessageId id, JsonMembers params, Moment receivedAt) {
    String function = params.string("function");
    int wanted = (int) Math.max(0, Math.min(MAX_INSTANCES, params.number("copies", 0)));
    log.ordered(
        new ExecutionLog.LoadOrder(host, connection.gateway(), function, wanted, receivedAt));
    FunctionInstances instances = loader.of(function);
    if (process.isDraining()) {
      connection.sendError(id, HostErrorCodes.DRAINING, "draining", false);
      return;
    }
    instances.usedAt = loop.now();
    while (instances.loaded + instances.loading < wanted) {
      if (!loader.load(instances)) {
        connection.sendError(id, HostErrorCodes.FULL, "no room", false);
        return;
      }
    }
    if (instances.loaded >= wanted) {
      connection.sendLoaded(id, instances.loaded);
    } else {
      instances.orders.add(new PendingLoadOrder(connection, id, wanted));
    }
  }

  /** One more instance is loaded: answers the orders that are complete with it. */
  void loaded(FunctionInstances instances) {
    instances.orders.removeIf(
        order -> {
          boolean complete = instances.loaded >= order.copies();
          if (complete) {
            order.connection().sendLoaded(order.id(), instances.loaded);
          }
          return complete;
        });
  }

  /** A load has failed: all orders of the function fail with it. */
  void loadFailed(FunctionInstances instances) {
    for (PendingLoadOrder order : instances.orders) {
      order.connection().sendError(order.id(), HostErrorCodes.MISS, "the load failed", true);
    }
    instances.orders.clear();
  }
}
