package flintlead.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import flintlead.configuration.rollout.RolloutRecord;
import flintlead.discovery.snapshot.DurableStorage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The stored record of a rollout, as JSON in a file. The keys are the stored format. All methods
 * block on the disk.
 */
final class RolloutRecordFile {

  private static final String NAME = "rollout.json";
  private static final ObjectMapper JSON = new ObjectMapper();

  private final DurableStorage storage;

  RolloutRecordFile(DurableStorage storage) {
    this.storage = storage;
  }

  /**
   * What is stored.
   *
   * @param text of the file with the hosts, pools and routes that gateways are to have
   */
  record Stored(RolloutRecord record, String text) {}

  void write(RolloutRecord record, String text) throws IOException {
    ObjectNode json =
        JSON.createObjectNode()
            .put("id", record.id())
            .put("text", text)
            .put("reverting", record.revertReason());
    ArrayNode gateways = json.putArray("gateways");
    for (RolloutRecord.GatewayRecord each : record.gateways()) {
      gateways
          .addObject()
          .put("name", each.name())
          .put("from", each.previousVersion())
          .put("to", each.targetVersion())
          .put("before", each.previousConfiguration())
          .put("touched", each.notified());
    }
    storage.replace(NAME, encode(json));
  }

  private static byte[] encode(JsonNode json) {
    try {
      return JSON.writeValueAsBytes(json);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Reads the record.
   *
   * @throws IOException when there is none, or none that can be used
   */
  Stored read() throws IOException {
    byte[] bytes = storage.read(NAME);
    if (bytes == null) {
      throw new IOException("there is no record of a rollout");
    }
    JsonNode json = JSON.readTree(bytes);
    List<RolloutRecord.GatewayRecord> gateways = new ArrayList<>();
    json.path("gateways").forEach(each -> gateways.add(gateway(each)));
    if (gateways.isEmpty() || !json.has("text") || !json.has("id")) {
      throw new IOException("the record of a rollout can't be used");
    }
    String reverting = json.path("reverting").isTextual() ? json.path("reverting").asText() : null;
    return new Stored(
        new RolloutRecord(json.path("id").asText(), gateways, reverting),
        json.path("text").asText());
  }

  private static RolloutRecord.GatewayRecord gateway(JsonNode json) {
    return new RolloutRecord.GatewayRecord(
        json.path("name").asText(),
        json.path("from").asText(),
        json.path("to").asText(),
        json.path("before").asText(),
        json.path("touched").asBoolean());
  }
}
