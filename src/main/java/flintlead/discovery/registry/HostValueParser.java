package flintlead.discovery.registry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import flintlead.discovery.endpoint.EndpointRecord;
import flintlead.gateway.upstream.HostSpec;
import flintlead.scheduling.api.HostEntry;
import flintlead.transport.loop.Address;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Parses the JSON value of a host's key; docs/registry.md describes it. Not thread-safe. */
final class HostValueParser {

  private static final int MAX_VALUE_CHARS = 64 << 10;
  private static final int MAX_NUMBER = 65_535;

  private final ObjectMapper json = new ObjectMapper();
  private final String prefix;

  /** Creates a parser of the values under the prefix. */
  HostValueParser(String prefix) {
    this.prefix = prefix;
  }

  /** Returns the host that the key's value describes. */
  EndpointRecord parse(String key, String value) throws InvalidHostValueException {
    String name = key.substring(prefix.length());
    try {
      return read(name, value);
    } catch (IOException | IllegalArgumentException e) {
      String reason = e.getMessage() == null ? e.toString() : e.getMessage();
      throw new InvalidHostValueException(reason.lines().findFirst().orElse(""), e);
    }
  }

  private EndpointRecord read(String name, String value) throws IOException {
    if (value.length() > MAX_VALUE_CHARS) {
      throw new IllegalArgumentException("over " + MAX_VALUE_CHARS + " characters");
    }
    JsonNode node = json.readTree(value);
    if (!node.isObject() || name.isEmpty()) {
      throw new IllegalArgumentException("not an object, or no name in the key");
    }
    List<String> addresses = addresses(node);
    // Refuses addresses that can't be parsed, too many of them, and repeated ones.
    HostSpec.ready(name, addresses.stream().map(Address::parse).toArray(Address[]::new));
    HostEntry.State state =
        HostEntry.State.valueOf(node.path("state").asText("ready").toUpperCase(Locale.ROOT));
    return new EndpointRecord(
        name,
        addresses,
        number(node, "zone"),
        number(node, "cell"),
        number(node, "kind"),
        state,
        node.path("startedEpochMs").asLong(0),
        node.path("weight").asDouble(1));
  }

  private static List<String> addresses(JsonNode node) {
    if (!node.has("addresses")) {
      return List.of(node.path("address").asText());
    }
    List<String> addresses = new ArrayList<>();
    node.path("addresses").forEach(each -> addresses.add(each.asText()));
    return List.copyOf(addresses);
  }

  private static int number(JsonNode node, String name) {
    int number = node.path(name).asInt(0);
    if (number < 0 || number > MAX_NUMBER) {
      throw new IllegalArgumentException("'" + name + "' must lie from 0 to " + MAX_NUMBER);
    }
    return number;
  }
}
