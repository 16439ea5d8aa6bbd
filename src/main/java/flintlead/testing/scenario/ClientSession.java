package flintlead.testing.scenario;

import flintlead.client.GatewayClient;
import java.util.ArrayList;
import java.util.List;

/** One client connection to a gateway, reopened when it ends. On the client loop. */
final class ClientSession {

  final GatewaySite site;
  GatewayClient client;
  boolean open;

  /** The client of this session that has stopped reading responses; null for none. */
  GatewayClient stalledClient;

  /** Attempts without a response yet. */
  final List<ClientAttempt> pending = new ArrayList<>();

  ClientSession(GatewaySite site) {
    this.site = site;
  }

  boolean isStalled() {
    return stalledClient != null && stalledClient == client;
  }

  /** No response is owed to what is pending. */
  void exemptPending() {
    pending.forEach(attempt -> attempt.exempt = true);
  }
}
