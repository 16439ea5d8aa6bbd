package flintlead.discovery.registry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import flintlead.discovery.watch.KeyChange;
import flintlead.discovery.watch.RegistryWatcher;
import flintlead.transport.jsonrpc.LineDecoder;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.function.Function;

/**
 * The etcd v3 API through its JSON gateway (etcd documentation, "API v3" and "gRPC gateway"):
 * {@code /v3/kv/range} in pages of one revision, {@code /v3/watch} as a stream of JSON texts. Bytes
 * are in base64, 64-bit numbers are strings.
 */
final class EtcdClient extends RegistryClient {

  private static final String RANGE_PATH = "/v3/kv/range";
  private static final String WATCH_PATH = "/v3/watch";
  private static final int OK = 200;

  private final ObjectMapper json = new ObjectMapper();

  EtcdClient(
      EventExecutor loop,
      Transport transport,
      RegistryConfig config,
      RegistryWatcher watcher,
      int firstEndpoint) {
    super(loop, transport, config, watcher, firstEndpoint);
  }

  private static String base64(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String text(JsonNode base64) {
    return new String(Base64.getDecoder().decode(base64.asText("")), StandardCharsets.UTF_8);
  }

  /**
   * The first key after all that begin with the prefix: the prefix with its last byte one higher.
   */
  private String rangeEnd() {
    byte[] end = config().prefix().getBytes(StandardCharsets.UTF_8);
    end[end.length - 1]++;
    return Base64.getEncoder().encodeToString(end);
  }

  // ---- full reads ----

  @Override
  void read(long attempt, String after, long revision) {
    String from = after == null ? config().prefix() : after + "\0";
    String body =
        "{\"key\":\""
            + base64(from)
            + "\",\"range_end\":\""
            + rangeEnd()
            + "\",\"limit\":\""
            + config().pageSize()
            + "\",\"revision\":\""
            + revision
            + "\",\"sort_order\":\"ASCEND\",\"sort_target\":\"KEY\"}";
    send(
        attempt,
        "POST",
        RANGE_PATH,
        body,
        config().requestTimeout(),
        (status, header, bytes) -> readPage(attempt, status, bytes));
  }

  private void readPage(long attempt, int status, byte[] body) {
    try {
      JsonNode answer = json.readTree(body);
      if (status != OK) {
        failWith(attempt, answer);
        return;
      }
      List<KeyChange> entries = new ArrayList<>();
      for (JsonNode kv : answer.path("kvs")) {
        entries.add(
            new KeyChange(
                text(kv.path("key")), text(kv.path("value")), kv.path("mod_revision").asLong()));
      }
      JsonNode header = answer.path("header");
      watcher()
          .onReadPage(
              attempt,
              header.path("cluster_id").asText(),
              header.path("revision").asLong(),
              entries,
              answer.path("more").asBoolean(),
              false,
              loop().now());
    } catch (IOException | IllegalArgumentException e) {
      fail(attempt, "the response to a read can't be parsed: " + e.getMessage());
    }
  }

  private void failWith(long attempt, JsonNode error) {
    String why = error.path("message").asText(error.path("error").asText("no reason"));
    if (why.contains("compacted")) {
      watcher().onCompacted(attempt, error.path("compact_revision").asLong(), loop().now());
    } else {
      fail(attempt, why);
    }
  }

  // ---- watches ----

  @Override
  void watch(long attempt, long from) {
    String body =
        "{\"create_request\":{\"key\":\""
            + base64(config().prefix())
            + "\",\"range_end\":\""
            + rangeEnd()
            + "\",\"start_revision\":\""
            + from
            + "\",\"progress_notify\":true,\"fragment\":true}}";
    send(attempt, "POST", WATCH_PATH, body, config().watchIdleTimeout(), new WatchStream(attempt));
  }

  /** A watch's response: a JSON text in each line. */
  private final class WatchStream implements ResponseReader, LineDecoder.LineHandler {

    private final long attempt;
    private final LineDecoder lines = new LineDecoder(config().maxBodyBytes(), this);

    WatchStream(long attempt) {
      this.attempt = attempt;
    }

    @Override
    public boolean part(ByteBuf bytes) {
      lines.feed(bytes, UnpooledByteBufAllocator.DEFAULT);
      return true;
    }

    @Override
    public void line(ByteBuf line) {
      if (line.isReadable()) {
        readWatchResponse(attempt, ByteBufUtil.getBytes(line));
      }
    }

    @Override
    public void lineTooLong(int most) {
      fail(attempt, "a watch response of over " + most + " bytes");
    }

    @Override
    public void complete(int status, Function<String, String> header, byte[] body) {
      fail(attempt, "the watch ended, status " + status);
    }

    @Override
    public void release() {
      lines.close();
    }
  }

  private void readWatchResponse(long attempt, byte[] text) {
    try {
      JsonNode answer = json.readTree(text);
      if (!answer.has("result")) {
        failWith(attempt, answer.path("error"));
        return;
      }
      JsonNode result = answer.path("result");
      if (result.path("canceled").asBoolean()) {
        readCancellation(attempt, result);
      } else {
        readResult(attempt, result);
      }
    } catch (IOException | IllegalArgumentException e) {
      fail(attempt, "a watch response can't be parsed: " + e.getMessage());
    }
  }

  private void readCancellation(long attempt, JsonNode result) {
    long oldest = result.path("compact_revision").asLong();
    if (oldest > 0) {
      watcher().onCompacted(attempt, oldest, loop().now());
    } else {
      watcher()
          .onWatchCancelled(
              attempt, result.path("cancel_reason").asText("no reason"), loop().now());
    }
  }

  /**
   * A response may announce the watch's creation, carry events, both, or neither: that is a
   * progress notification.
   */
  private void readResult(long attempt, JsonNode result) {
    String cluster = result.path("header").path("cluster_id").asText();
    long revision = result.path("header").path("revision").asLong();
    boolean created = result.path("created").asBoolean();
    if (created) {
      watcher().onWatchCreated(attempt, cluster, revision, loop().now());
    }
    if (!result.path("events").isEmpty()) {
      watcher()
          .onWatchEvents(
              attempt,
              cluster,
              revision,
              changes(result.path("events")),
              result.path("fragment").asBoolean(),
              loop().now());
    } else if (!created) {
      watcher().onProgress(attempt, cluster, revision, loop().now());
    }
  }

  private static List<KeyChange> changes(JsonNode events) {
    List<KeyChange> changes = new ArrayList<>();
    for (JsonNode event : events) {
      JsonNode kv = event.path("kv");
      boolean deleted = event.path("type").asText("PUT").equals("DELETE");
      changes.add(
          new KeyChange(
              text(kv.path("key")),
              deleted ? null : text(kv.path("value")),
              kv.path("mod_revision").asLong()));
    }
    return changes;
  }
}
