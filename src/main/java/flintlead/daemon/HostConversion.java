package flintlead.daemon;

import flintlead.configuration.transaction.ConfigurationVersion;
import flintlead.gateway.upstream.HostSpec;
import flintlead.routing.pool.Layout;
import flintlead.scheduling.api.HostEntry;
import flintlead.time.Moment;
import flintlead.transport.loop.Address;
import java.util.List;

/** Converts hosts between the gateway's form and that of configuration versions. */
final class HostConversion {

  private HostConversion() {}

  /** Returns the version that consists of the hosts and the layout. */
  static ConfigurationVersion toVersion(List<HostSpec> hosts, Layout layout) {
    return new ConfigurationVersion(hosts.stream().map(HostConversion::toLine).toList(), layout);
  }

  private static ConfigurationVersion.HostDefinition toLine(HostSpec host) {
    List<String> addresses = host.addresses().stream().map(Address::toString).toList();
    return new ConfigurationVersion.HostDefinition(
        host.name(),
        addresses,
        host.zone(),
        host.cell(),
        host.kind(),
        host.weight(),
        host.state() != HostEntry.State.READY);
  }

  /**
   * Returns the host as the gateway takes it.
   *
   * @throws IllegalArgumentException when an address is invalid, or there are none or too many
   */
  static HostSpec toSpec(ConfigurationVersion.HostDefinition host) {
    List<Address> addresses = host.addresses().stream().map(Address::parse).toList();
    HostEntry.State state = host.draining() ? HostEntry.State.DRAINING : HostEntry.State.READY;
    return new HostSpec(
        host.name(),
        addresses,
        host.zone(),
        host.cell(),
        host.kind(),
        state,
        new Moment(0),
        host.weight());
  }
}
