package flintlead.testing.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import flintlead.time.Span;
import flintlead.transport.http.HttpClientRequest;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Keeps a host's key in a registry (etcd v3, JSON gateway): under a lease that it renews, written
 * again when the lease or the registry was lost, and deleted when the host leaves. On its event
 * loop.
 */
public final class HostRegistration {

  private static final Span RETRY_DELAY = Span.ofMillis(300);

  /** From one renewal of the lease to the next, as a share of its time to live. */
  private static final double RENEWAL_SHARE = 0.3;

  private static final int OK = 200;

  private final EventExecutor loop;
  private final Transport transport;
  private final Address registry;
  private final String key;
  private final int ttlSeconds;
  private final Random random;
  private final ObjectMapper json = new ObjectMapper();
  private String value;

  /** Null for none. */
  private String lease;

  private boolean left;

  /** Counts changes of the value: responses to what belongs to an earlier one are ignored. */
  private int generation;

  /**
   * A registration that is not published yet.
   *
   * @param ttlSeconds time to live of the lease
   * @param seed of the jitter of retries
   */
  public <L extends EventExecutor & Transport> HostRegistration(
      L eventLoop, Address registry, String key, int ttlSeconds, long seed) {
    this.loop = eventLoop;
    this.transport = eventLoop;
    this.registry = registry;
    this.key = key;
    this.ttlSeconds = ttlSeconds;
    this.random = new Random(seed);
  }

  /** Registers the host, or changes its value. */
  public void publish(String newValue) {
    value = newValue;
    left = false;
    register(++generation);
  }

  /** Deletes the key. */
  public void deregister() {
    left = true;
    generation++;
    post(
        "/v3/kv/deleterange",
        "{\"key\":\"" + EtcdJson.base64(key) + "\"}",
        response -> {},
        () -> {});
  }

  /** Stops renewing the lease without deleting the key, as a process that dies. */
  public void abandon() {
    left = true;
    generation++;
  }

  private void register(int of) {
    if (lease != null) {
      put(of);
      return;
    }
    post(
        "/v3/lease/grant",
        "{\"TTL\":\"" + ttlSeconds + "\"}",
        response -> {
          if (of == generation) {
            lease = response.path("ID").asText();
            put(of);
          }
        },
        () -> retry(of));
  }

  private void put(int of) {
    String body =
        "{\"key\":\""
            + EtcdJson.base64(key)
            + "\",\"value\":\""
            + EtcdJson.base64(value)
            + "\",\"lease\":\""
            + lease
            + "\"}";
    post(
        "/v3/kv/put",
        body,
        response -> renewLater(of),
        () -> {
          lease = null;
          retry(of);
        });
  }

  private void renewLater(int of) {
    loop.scheduleAfter(Span.ofMillis(ttlSeconds * 1000 * RENEWAL_SHARE), () -> renew(of));
  }

  private void renew(int of) {
    if (of != generation) {
      return;
    }
    post(
        "/v3/lease/keepalive",
        "{\"ID\":\"" + lease + "\"}",
        response -> {
          if (response.path("result").path("TTL").asInt() > 0) {
            renewLater(of);
          } else {
            // The lease has expired, and the key with it: it is written again.
            lease = null;
            register(of);
          }
        },
        () -> loop.scheduleAfter(jitteredDelay(), () -> renew(of)));
  }

  private void retry(int of) {
    loop.scheduleAfter(
        jitteredDelay(),
        () -> {
          if (of == generation && !left) {
            register(of);
          }
        });
  }

  private Span jitteredDelay() {
    return RETRY_DELAY.times(0.5 + random.nextDouble());
  }

  private void post(String path, String body, Consumer<JsonNode> done, Runnable failed) {
    HttpClientRequest.send(
        transport,
        registry,
        "POST",
        path,
        body.getBytes(StandardCharsets.UTF_8),
        new JsonResponse(done, failed));
  }

  /** Collects a response with a JSON body. */
  private final class JsonResponse implements HttpClientRequest.ResponseHandler {
    private final Consumer<JsonNode> done;
    private final Runnable failed;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private int status;

    JsonResponse(Consumer<JsonNode> done, Runnable failed) {
      this.done = done;
      this.failed = failed;
    }

    @Override
    public void head(int code, Function<String, String> header) {
      status = code;
    }

    @Override
    public void body(ByteBuf part) {
      content.writeBytes(ByteBufUtil.getBytes(part));
    }

    @Override
    public void end() {
      try {
        if (status == OK) {
          done.accept(json.readTree(content.toByteArray()));
        } else {
          failed.run();
        }
      } catch (IOException e) {
        failed.run();
      }
    }

    @Override
    public void responseFailed(String why) {
      failed.run();
    }
  }
}
