package flintlead.membership.peer;

import flintlead.membership.swim.ProbeSchedule;
import flintlead.membership.transfer.StateTransferClient;
import flintlead.membership.transfer.StateTransferServer;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import java.util.List;

/**
 * Configuration of the membership and the state transfer.
 *
 * @param listenAddress where datagrams are received
 * @param advertisedAddress the address that is advertised to others; null for {@code listenAddress}
 * @param seeds addresses at which other members can be found
 * @param keys keys that authenticate messages, the first of which signs; none for no authentication
 * @param probeSchedule times of the membership protocol
 * @param stateTransferEnabled whether observations of others are fetched after the start
 * @param servingDelay time after the start in which none are served to others
 * @param transferLimits limits within which observations are served
 * @param transferTimeouts times and bounds of fetching them
 */
public record PeerConfig(
    Address.Udp listenAddress,
    Address.Udp advertisedAddress,
    List<Address.Udp> seeds,
    List<byte[]> keys,
    ProbeSchedule probeSchedule,
    boolean stateTransferEnabled,
    Span servingDelay,
    StateTransferServer.TransferLimits transferLimits,
    StateTransferClient.TransferTimeouts transferTimeouts) {

  private static final Span DEFAULT_SERVING_DELAY = Span.ofMillis(5_000);

  /** What holds where nothing else is configured. */
  public static PeerConfig defaults(Address.Udp listenAddress, List<Address.Udp> seeds) {
    return new PeerConfig(
        listenAddress,
        null,
        seeds,
        List.of(),
        ProbeSchedule.DEFAULTS,
        true,
        DEFAULT_SERVING_DELAY,
        StateTransferServer.TransferLimits.DEFAULTS,
        StateTransferClient.TransferTimeouts.DEFAULTS);
  }
}
