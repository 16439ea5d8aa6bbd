package flintlead.configuration.transaction;

import flintlead.routing.pool.Layout;
import flintlead.routing.pool.LayoutTransition;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * One state of the host list and its layout; immutable. Its id is a digest of what it says, not of
 * how it was written, so equal versions have one id at every gateway. The text form is stored and
 * digested: it must stay as it is.
 */
public final class ConfigurationVersion {

  /**
   * A host of the version.
   *
   * @param addresses in the order in which they are tried
   * @param draining whether it takes no new invocations
   */
  public record HostDefinition(
      String name,
      List<String> addresses,
      int zone,
      int cell,
      int kind,
      double weight,
      boolean draining) {

    private static final String DRAINING = "drains";
    private static final String READY = "ready";
    private static final int FIELDS = 7;

    /** Copies the addresses. */
    public HostDefinition {
      addresses = List.copyOf(addresses);
    }

    /** Returns the same host, draining. */
    HostDefinition withDraining() {
      return new HostDefinition(name, addresses, zone, cell, kind, weight, true);
    }

    String encode() {
      return String.join(
          FIELD_SEPARATOR,
          name,
          String.join(LIST_SEPARATOR, addresses),
          "" + zone,
          "" + cell,
          "" + kind,
          "" + weight,
          draining ? DRAINING : READY);
    }

    static HostDefinition parse(String text) {
      String[] fields = text.split(FIELD_SEPARATOR, -1);
      if (fields.length != FIELDS) {
        throw new IllegalArgumentException("a host of " + fields.length + " fields");
      }
      return new HostDefinition(
          fields[0],
          List.of(fields[1].split(LIST_SEPARATOR)),
          Integer.parseInt(fields[2]),
          Integer.parseInt(fields[3]),
          Integer.parseInt(fields[4]),
          Double.parseDouble(fields[5]),
          fields[6].equals(DRAINING));
    }
  }

  private static final String FIELD_SEPARATOR = "\t";

  /** Between the members of a list; addresses of sockets may hold spaces. */
  private static final String LIST_SEPARATOR = "\u001f";

  private static final int ID_LENGTH = 12;

  private final TreeMap<String, HostDefinition> hosts = new TreeMap<>();
  private final LayoutTransition transition;
  private final String id;

  /**
   * Creates a version whose layout is completely in force.
   *
   * @throws IllegalArgumentException when two hosts have one name
   */
  public ConfigurationVersion(List<HostDefinition> all, Layout layout) {
    this(all, LayoutTransition.of(layout));
  }

  /** Creates a version without pools. */
  public ConfigurationVersion(List<HostDefinition> all) {
    this(all, Layout.DEFAULT);
  }

  ConfigurationVersion(List<HostDefinition> all, LayoutTransition transition) {
    this.transition = transition;
    for (HostDefinition host : all) {
      if (hosts.put(host.name(), host) != null) {
        throw new IllegalArgumentException("host '" + host.name() + "' stands twice");
      }
    }
    id = DigestUtils.sha256Hex(encode().getBytes(StandardCharsets.UTF_8)).substring(0, ID_LENGTH);
  }

  /** Returns the digest by which the version is known. */
  public String id() {
    return id;
  }

  /** Returns the hosts by name, in order. */
  public Map<String, HostDefinition> hosts() {
    return Collections.unmodifiableMap(hosts);
  }

  /** Returns the layout; during a transition, the one it leads to. */
  public Layout layout() {
    return transition.target();
  }

  /**
   * Returns how far the layout is in force: completely in all versions but a change's intermediate
   * steps.
   */
  public LayoutTransition transition() {
    return transition;
  }

  /** Returns the hosts as pools select them. */
  public List<Layout.HostDescriptor> poolMembers() {
    return hosts.values().stream()
        .map(
            host ->
                new Layout.HostDescriptor(host.name(), host.zone(), host.kind(), !host.draining()))
        .toList();
  }

  /** Returns the number of hosts that do not drain. */
  public long readyCount() {
    return hosts.values().stream().filter(host -> !host.draining()).count();
  }

  /**
   * Returns the version as text: lines of pools and routes where there are any, then a line for
   * each host in the order of names.
   */
  public String encode() {
    boolean hasNoPools = transition.isComplete() && layout().equals(Layout.DEFAULT);
    StringBuilder text = new StringBuilder(hasNoPools ? "" : transition.toText());
    hosts.values().forEach(host -> text.append(host.encode()).append('\n'));
    return text.toString();
  }

  /**
   * Parses what {@link ConfigurationVersion#encode} returned for a version without a transition.
   *
   * @throws IllegalArgumentException when the text is no version, or its layout has faults
   */
  public static ConfigurationVersion decode(String text) {
    List<String> layoutLines =
        text.lines().filter(line -> line.startsWith(FIELD_SEPARATOR)).toList();
    List<HostDefinition> hosts = new ArrayList<>();
    text.lines().skip(layoutLines.size()).forEach(line -> hosts.add(HostDefinition.parse(line)));
    Layout layout = layoutLines.isEmpty() ? Layout.DEFAULT : Layout.parse(layoutLines);
    if (!layout.validate().isEmpty()) {
      throw new IllegalArgumentException(String.join("; ", layout.validate()));
    }
    return new ConfigurationVersion(hosts, layout);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ConfigurationVersion version && version.id.equals(id);
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }

  @Override
  public String toString() {
    return id;
  }
}
