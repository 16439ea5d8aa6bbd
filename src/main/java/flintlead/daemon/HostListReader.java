package flintlead.daemon;

import flintlead.configuration.yaml.YamlSection;
import flintlead.gateway.upstream.HostSpec;
import flintlead.ids.NameHash;
import flintlead.scheduling.api.HostEntry;
import flintlead.time.Moment;
import flintlead.transport.loop.Address;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the static list of hosts: the keys {@code names} and {@code hosts}. Faults are collected in
 * the sections.
 */
final class HostListReader {

  private static final int MAX_KIND = 255;
  private static final double MAX_WEIGHT = 1e6;

  /** Stands for an address that can't be read, until the fault is reported. */
  private static final Address PLACEHOLDER = new Address.Tcp("127.0.0.1", 1);

  /** IP addresses by the names that the file gives them. */
  private final Map<String, List<String>> addressesByName = new HashMap<>();

  /** Names of hosts by the number that is derived from them. */
  private final Map<Long, String> namesById = new HashMap<>();

  private HostListReader() {}

  /** Reads the hosts of a file. */
  static List<HostSpec> read(YamlSection top) {
    HostListReader reader = new HostListReader();
    reader.readNames(top);
    List<HostSpec> hosts = new ArrayList<>();
    for (YamlSection each : top.sections("hosts")) {
      hosts.add(reader.readHost(each));
    }
    return hosts;
  }

  private void readNames(YamlSection top) {
    for (YamlSection each : top.sections("names")) {
      addressesByName.put(each.string("name", null), each.strings("addresses", List.of()));
      each.rejectUnknownKeys();
    }
  }

  private HostSpec readHost(YamlSection from) {
    String name = from.string("name", null);
    List<Address> addresses = readAddresses(from);
    HostSpec host =
        new HostSpec(
            name,
            addresses,
            from.integer("zone", 0, 0, ConfigLimits.MAX_ID),
            from.integer("cell", 0, 0, ConfigLimits.MAX_ID),
            from.integer("kind", 0, 0, MAX_KIND),
            from.enumValue("state", HostEntry.State.READY),
            new Moment(0),
            from.number("weight", 1, 0, MAX_WEIGHT));
    from.rejectUnknownKeys();
    String other = namesById.put(NameHash.host(name), name);
    if (other != null) {
      from.addError(
          "name",
          "'"
              + name
              + "' "
              + (other.equals(name) ? "stands twice" : "has the same number as '" + other + "'"),
          "rename one of them");
    }
    return host;
  }

  private List<Address> readAddresses(YamlSection from) {
    boolean many = from.has("addresses");
    String key = many ? "addresses" : "address";
    List<String> texts =
        many ? from.strings("addresses", List.of()) : List.of(from.string("address", null));
    List<Address> addresses = new ArrayList<>();
    texts.forEach(text -> resolve(from, key, text, addresses));
    boolean valid =
        !addresses.isEmpty()
            && addresses.size() <= HostSpec.MAX_ADDRESSES
            && Set.copyOf(addresses).size() == addresses.size();
    if (!valid) {
      from.addError(
          key,
          "names no address, too many, or one twice",
          "name 1 to " + HostSpec.MAX_ADDRESSES + ", each once");
      return List.of(PLACEHOLDER);
    }
    return addresses;
  }

  /** Adds an address, or all addresses of a name that the file defines. No DNS server is asked. */
  private void resolve(YamlSection from, String key, String text, List<Address> into) {
    String scheme = "tcp:";
    int colon = text.lastIndexOf(':');
    boolean hasHostName = text.startsWith(scheme) && colon > scheme.length();
    List<String> known =
        hasHostName ? addressesByName.get(text.substring(scheme.length(), colon)) : null;
    if (known == null) {
      SectionValues.address(from, key, text, into);
      return;
    }
    for (String ip : known) {
      String host = ip.contains(":") ? "[" + ip + "]" : ip;
      SectionValues.address(from, key, scheme + host + text.substring(colon), into);
    }
  }
}
