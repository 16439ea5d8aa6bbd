package flintlead.daemon;

import flintlead.configuration.yaml.YamlException;
import flintlead.discovery.registry.RegistryConfig;
import flintlead.gateway.GatewayConfig;
import flintlead.gateway.downstream.FrontLimits;
import flintlead.gateway.upstream.HostSpec;
import flintlead.gateway.upstream.UpstreamLimits;
import flintlead.membership.peer.PeerConfig;
import flintlead.routing.admission.AdmissionController;
import flintlead.routing.pool.Layout;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * A daemon's configuration, as its file gives it.
 *
 * @param gateway the gateway's
 * @param hosts the static list; empty where the hosts come from a registry
 * @param layout pools and the routes to them
 * @param registry where the hosts come from; null for the static list
 * @param snapshotDirectory the directory in which the registry's last good state is kept; null for
 *     nowhere
 * @param listen addresses at which clients connect
 * @param admission limits of admission
 * @param clientLimits limits of client connections
 * @param hostLimits limits of host connections
 * @param stopGrace how long a stop waits for pending invocations
 * @param peers how it talks to other gateways; null for not at all
 * @param keyFiles keys for the messages between gateways, read again while the gateway runs
 * @param control how it can be changed while it runs; null for not at all
 * @param observationDirectory the directory in which its own observations are kept for its next
 *     process; null for nowhere
 */
public record DaemonConfig(
    GatewayConfig gateway,
    List<HostSpec> hosts,
    Layout layout,
    RegistryConfig registry,
    Path snapshotDirectory,
    List<Address> listen,
    AdmissionController.Limits admission,
    FrontLimits clientLimits,
    UpstreamLimits hostLimits,
    Span stopGrace,
    PeerConfig peers,
    List<Path> keyFiles,
    ControlConfig control,
    Path observationDirectory) {

  /**
   * Reads a file.
   *
   * @throws YamlException with a line for each fault: file, line, key, what is wrong and what to
   *     write instead
   */
  public static DaemonConfig read(Path file) throws IOException, YamlException {
    return DaemonConfigReader.read(file);
  }

  /**
   * Reads a text.
   *
   * @param name the file name that messages begin with
   * @throws YamlException with a line for each fault
   */
  public static DaemonConfig parse(String name, String text) throws YamlException {
    return DaemonConfigReader.parse(name, text);
  }
}
