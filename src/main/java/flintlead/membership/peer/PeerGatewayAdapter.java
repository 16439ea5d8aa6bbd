package flintlead.membership.peer;

import flintlead.gateway.InvocationHandler;
import flintlead.membership.transfer.InstanceObservation;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Connects a gateway to its peers: passes gossip and observations on in both directions. Used on
 * the gateway's event loop.
 */
public final class PeerGatewayAdapter implements PeerService.LocalGateway {

  private final InvocationHandler gateway;
  private final Consumer<String> log;

  /**
   * @param log receives lines about the peers
   */
  public PeerGatewayAdapter(InvocationHandler gateway, Consumer<String> log) {
    this.gateway = gateway;
    this.log = log;
  }

  /** Sends the gateway's gossip through these peers from now on. */
  public void connect(PeerService peers) {
    gateway.usePeerChannel(
        new InvocationHandler.PeerChannel() {
          @Override
          public void sendGossip(int recipient, byte[] gossip) {
            peers.sendGossip(recipient, gossip);
          }

          @Override
          public void broadcastGossip(byte[] gossip) {
            peers.broadcastGossip(gossip);
          }
        });
  }

  @Override
  public void gossipReceived(int sender, byte[] gossip) {
    gateway.gossipReceived(sender, gossip);
  }

  @Override
  public List<InstanceObservation> observations() {
    List<InstanceObservation> observations = new ArrayList<>();
    gateway.exportObservations(
        (host, function, instances, age) ->
            observations.add(
                new InstanceObservation(
                    function, host, Math.min(instances, InstanceObservation.MAX_INSTANCES), age)));
    return observations;
  }

  @Override
  public void mergeObservations(List<InstanceObservation> observations) {
    observations.forEach(
        each ->
            gateway.mergeObservation(each.host(), each.function(), each.instances(), each.age()));
  }

  @Override
  public void gatewayCountChanged(int count) {
    gateway.gatewayCountChanged(count);
  }

  @Override
  public void log(String line) {
    log.accept(line);
  }
}
