package flintlead.testing.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** The messages of etcd's JSON gateway: keys and values in base64, 64-bit numbers as strings. */
final class EtcdJson {

  private final ObjectMapper mapper = new ObjectMapper();
  private final RegistryStore store;

  EtcdJson(RegistryStore store) {
    this.store = store;
  }

  ObjectMapper mapper() {
    return mapper;
  }

  /** A response with the header of the store's current revision. */
  ObjectNode header() {
    ObjectNode response = mapper.createObjectNode();
    response
        .putObject("header")
        .put("cluster_id", store.cluster())
        .put("member_id", "1")
        .put("revision", Long.toString(store.revision()))
        .put("raft_term", "2");
    return response;
  }

  /** One line of a streamed response. */
  String resultLine(ObjectNode result) {
    ObjectNode line = mapper.createObjectNode();
    line.set("result", result);
    return line + "\n";
  }

  static void writeKeyValue(ObjectNode target, String key, String value, long revision) {
    target.put("key", base64(key)).put("mod_revision", Long.toString(revision));
    if (value != null) {
      target.put("value", base64(value));
    }
  }

  static String base64(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  /** A member in base64; empty where it is absent. */
  static byte[] bytes(JsonNode message, String member) {
    return Base64.getDecoder().decode(message.path(member).asText(""));
  }

  static String text(JsonNode message, String member) {
    return new String(bytes(message, member), StandardCharsets.UTF_8);
  }

  static EtcdKeyRange range(JsonNode message) {
    return new EtcdKeyRange(bytes(message, "key"), bytes(message, "range_end"));
  }
}
