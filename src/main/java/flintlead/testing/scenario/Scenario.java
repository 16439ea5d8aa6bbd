package flintlead.testing.scenario;

import flintlead.configuration.yaml.ConfigurationErrors;
import flintlead.configuration.yaml.YamlException;
import flintlead.configuration.yaml.YamlSection;
import flintlead.discovery.registry.RegistryConfig;
import flintlead.gateway.GatewayConfig;
import flintlead.testing.arrivals.ArrivalConfig;
import flintlead.testing.arrivals.WorkModel;
import flintlead.testing.emulator.HostModel;
import flintlead.time.Span;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A scenario: how many gateways and hosts, how much traffic, and which faults when. The file form
 * is described in {@code docs/lab.md}.
 *
 * @param name for results and reports
 * @param duration how long traffic arrives
 * @param gateways number of gateways
 * @param hosts number of hosts
 * @param zones number of zones; hosts are assigned to them in turn
 * @param cells number of cells; hosts are assigned to them in turn
 * @param invocationsPerSecond invocations per second, over all clients
 * @param functions number of functions, of Zipf popularity
 * @param connections of clients to each gateway
 * @param retries retries that a client makes after its first attempt
 * @param hostListDelay how late the gateways are notified of a change in the host list
 * @param hostModel the model of a host, with its rules; the machine kinds differ from it in size
 * @param storeConcurrency fetches that the store serves at full speed
 * @param gatewayConfig the gateways' configuration
 * @param faults the faults
 * @param registry the protocol by which gateways follow the host list; null for a list that is
 *     pushed to them
 * @param fileHeader the text of its file without name and faults, so that it can be written again
 * @param machineKinds the kinds of machines that the hosts run on, with their shares; never empty
 * @param halls number of halls that gateways and hosts stand in, each with a network of its own
 * @param network the simulated network
 * @param traffic when invocations arrive
 * @param work how much work they are
 * @param warmUp the beginning, which counts in no outcome
 * @param policy name of the gateways' scheduling policy
 * @param peers whether the gateways form a membership and transfer state after a start
 * @param poolSchedule the pools, and how they change
 * @param persistsObservations whether each gateway stores its observations on its disk for its next
 *     process; simulated time only
 */
public record Scenario(
    String name,
    Span duration,
    int gateways,
    int hosts,
    int zones,
    int cells,
    double invocationsPerSecond,
    int functions,
    int connections,
    int retries,
    Span hostListDelay,
    HostModel hostModel,
    int storeConcurrency,
    GatewayConfig gatewayConfig,
    List<Fault> faults,
    RegistryConfig.Protocol registry,
    String fileHeader,
    List<MachineKind> machineKinds,
    int halls,
    NetworkModel network,
    ArrivalConfig traffic,
    WorkModel work,
    Span warmUp,
    String policy,
    boolean peers,
    PoolSchedule poolSchedule,
    boolean persistsObservations) {

  /**
   * A kind of machine.
   *
   * @param kind its name
   * @param share of the hosts that run on it, relative to the other kinds
   * @param model the model of a host on it
   */
  public record MachineKind(String kind, double share, HostModel model) {}

  /** Name of the scheduling policy that is shipped. */
  public static final String BUILT_IN_POLICY = "control";

  /** Multiples of the golden ratio, modulo 1, are spread evenly however many there are. */
  private static final double GOLDEN_RATIO = 0.6180339887498949;

  /** The same scenario with other faults. */
  public Scenario withFaults(List<Fault> otherFaults) {
    return copy(gateways, hosts, invocationsPerSecond, otherFaults, policy);
  }

  /** The same scenario in another size. */
  public Scenario resized(int newGateways, int newHosts, double newPerSecond) {
    return copy(newGateways, newHosts, newPerSecond, faults, policy);
  }

  /** The same scenario with another scheduling policy. */
  public Scenario withPolicy(String otherPolicy) {
    return copy(gateways, hosts, invocationsPerSecond, faults, otherPolicy);
  }

  private Scenario copy(
      int newGateways, int newHosts, double newPerSecond, List<Fault> newFaults, String newPolicy) {
    return new Scenario(
        name,
        duration,
        newGateways,
        newHosts,
        zones,
        cells,
        newPerSecond,
        functions,
        connections,
        retries,
        hostListDelay,
        hostModel,
        storeConcurrency,
        gatewayConfig,
        List.copyOf(newFaults),
        registry,
        fileHeader,
        machineKinds,
        halls,
        network,
        traffic,
        work,
        warmUp,
        newPolicy,
        peers,
        poolSchedule,
        persistsObservations);
  }

  /**
   * The model of one host: kinds of machines are spread evenly over the hosts, by their shares.
   *
   * @param host its number
   */
  public HostModel hostModelOf(int host) {
    double total = machineKinds.stream().mapToDouble(MachineKind::share).sum();
    double position = host * GOLDEN_RATIO % 1 * total;
    for (MachineKind each : machineKinds) {
      position -= each.share();
      if (position < 0) {
        return each.model();
      }
    }
    return machineKinds.get(machineKinds.size() - 1).model();
  }

  /**
   * Reads a scenario file.
   *
   * @throws YamlException with all that is wrong in the file
   */
  public static Scenario read(Path file) throws IOException, YamlException {
    return read(file.toString(), Files.readString(file));
  }

  /**
   * Reads the text of a scenario file.
   *
   * @param name of the text, for error messages
   * @throws YamlException with all that is wrong in the text
   */
  public static Scenario parse(String name, String text) throws YamlException {
    return read(name, text);
  }

  private static Scenario read(String file, String text) throws YamlException {
    ConfigurationErrors faults = new ConfigurationErrors(file);
    Scenario scenario = ScenarioReader.read(YamlSection.read(text, faults), faults, text);
    faults.throwIfAny();
    return scenario;
  }
}
