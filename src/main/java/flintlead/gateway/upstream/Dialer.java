package flintlead.gateway.upstream;

import flintlead.time.Moment;
import flintlead.transport.dial.AddressSelector;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import java.util.List;

/** Opens connections to one host: selects the address and observes the connection budget. */
final class Dialer {

  private final UpstreamContext context;
  private final EventExecutor loop;
  private final ConnectionListener listener;
  private final AddressSelector<Address> addresses;
  private final ConnectionSet connections;
  private boolean stopped;

  Dialer(
      UpstreamContext context,
      ConnectionListener listener,
      AddressSelector<Address> addresses,
      ConnectionSet connections) {
    this.context = context;
    this.loop = context.loop();
    this.listener = listener;
    this.addresses = addresses;
    this.connections = connections;
  }

  /** Opens no more connections from now on. */
  void stop() {
    stopped = true;
  }

  boolean isStopped() {
    return stopped;
  }

  /** Whether any address may be dialled now. */
  boolean mayDialNow() {
    Moment at = addresses.nextDialAt(loop.now(), List.of());
    return at != null && !at.isAfter(loop.now());
  }

  /** Dials the best address not in use, if the stagger between dials allows one now. */
  void dialNext() {
    Address next =
        stopped ? null : addresses.nextToDial(loop.now(), connections.addressesInUse(), true);
    if (next != null) {
      open(next);
    }
  }

  /**
   * Opens another connection to the address of a crowded one, unless one is being opened there or
   * the address has {@link UpstreamLimits#connectionsPerHost} connections.
   */
  void dialSameAddress(Connection crowded) {
    int sameAddress = 0;
    for (Connection connection : connections) {
      if (connection.isConnectingOrReady() && connection.address().equals(crowded.address())) {
        sameAddress++;
        if (connection.isConnecting()) {
          return;
        }
      }
    }
    if (sameAddress < context.limits().connectionsPerHost() && !stopped) {
      open(crowded.address());
    }
  }

  /** Dials an address that ranks above the serving one, if one may be retried now. */
  void dialBetterAddress(Connection serving) {
    Address preferred =
        addresses.betterCandidate(serving.address(), loop.now(), connections.addressesInUse());
    if (preferred != null) {
      open(preferred);
    }
  }

  private void open(Address address) {
    int total = context.quota().totalConnections();
    if (!context.budget().tryAcquire(loop.now(), total)) {
      if (context.budget().shouldCloseIdle(loop.now(), total)) {
        context.quota().closeLongestIdle();
      }
      return;
    }
    addresses.dialStarted(address, loop.now());
    Connection connection = new Connection(context, listener, address);
    connections.add(connection);
    connection.open(context.transport().connect(address, connection));
  }

  /** No file descriptor is left: suspends dialling and closes the longest idle connection. */
  void descriptorsExhausted() {
    context.budget().descriptorsExhausted(loop.now());
    context.quota().closeLongestIdle();
  }
}
