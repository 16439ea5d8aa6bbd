package flintlead.testing.scenario;

import flintlead.gateway.Flintlead;
import flintlead.membership.peer.PeerService;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventLoop;
import java.util.ArrayList;
import java.util.List;

/** One gateway of a scenario over all its incarnations. */
final class GatewaySite {

  final int index;

  /** How often it was restarted. */
  int incarnation;

  /** Of the current incarnation. */
  String name;

  EventLoop loop;
  Flintlead gateway;

  /** Its membership; null where the gateways don't know of each other. */
  volatile PeerService peers;

  /** Where clients connect to the current incarnation. */
  Address clientAddress;

  boolean up;

  /** The clients' connections to it. On the client loop. */
  final List<ClientSession> sessions = new ArrayList<>();

  GatewaySite(int index) {
    this.index = index;
  }

  /** The name under which its disk is kept over all incarnations, which peers know it by too. */
  String diskName() {
    return "gw-" + index;
  }
}
