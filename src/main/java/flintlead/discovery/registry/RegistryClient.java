package flintlead.discovery.registry;

import flintlead.discovery.watch.RegistryWatcher;
import flintlead.time.Span;
import flintlead.transport.http.HttpClientRequest;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/**
 * Sends the requests of one registry protocol. There is one request at a time, on a connection of
 * its own; each failure moves on to the next endpoint. Lives on the gateway's loop.
 */
abstract class RegistryClient {

  /** Largest response, or line of a streamed response, in bytes. */
  private static final int MAX_BODY_COMPONENTS = 1_024;

  private static final int OK = 200;

  private final EventExecutor loop;
  private final RegistryConfig config;
  private final RegistryWatcher watcher;
  private final Transport transport;
  private int endpoint;
  private HttpClientRequest open;
  private Runnable cancelTimeout = () -> {};
  private long bytesReceived;
  private long requestsSent;

  RegistryClient(
      EventExecutor loop,
      Transport transport,
      RegistryConfig config,
      RegistryWatcher watcher,
      int firstEndpoint) {
    this.loop = loop;
    this.transport = transport;
    this.config = config;
    this.watcher = watcher;
    this.endpoint = Math.floorMod(firstEndpoint, config.endpoints().size());
  }

  /**
   * Requests a page of a full read; see {@link flintlead.discovery.watch.WatchActions#readPage}.
   */
  abstract void read(long attempt, String after, long revision);

  /** Opens a watch; see {@link flintlead.discovery.watch.WatchActions#openWatch}. */
  abstract void watch(long attempt, long from);

  final EventExecutor loop() {
    return loop;
  }

  final RegistryConfig config() {
    return config;
  }

  final RegistryWatcher watcher() {
    return watcher;
  }

  final long bytesReceived() {
    return bytesReceived;
  }

  final long requestsSent() {
    return requestsSent;
  }

  /** Aborts the open request, if there is one; its response is ignored. */
  final void abort() {
    cancelTimeout.run();
    if (open != null) {
      open.cancel();
      open = null;
    }
  }

  /** Aborts the attempt's request, reports its failure, and takes the next endpoint next time. */
  final void fail(long attempt, String why) {
    endpoint = (endpoint + 1) % config.endpoints().size();
    abort();
    watcher.onConnectionLost(attempt, why, loop.now());
  }

  /**
   * Sends a request in place of the open one.
   *
   * @param body null for none
   * @param timeout until the response is complete, or until the first part of a streamed one
   */
  final void send(
      long attempt, String method, String path, String body, Span timeout, ResponseReader reader) {
    abort();
    requestsSent++;
    Address to = config.endpoints().get(endpoint);
    startTimeout(attempt, timeout, to);
    byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
    open =
        HttpClientRequest.send(
            transport, to, method, path, bytes, new Exchange(attempt, to, reader));
  }

  /** A connection can be dead without being closed: after this much silence it is abandoned. */
  private void startTimeout(long attempt, Span timeout, Address to) {
    cancelTimeout.run();
    cancelTimeout = loop.scheduleAfter(timeout, () -> fail(attempt, to + " says nothing"));
  }

  /** Receives the response to one request. */
  interface ResponseReader {

    /**
     * Takes a part of the body of a successful response; the buffer is the reader's only until it
     * returns.
     *
     * @return false to have the body collected and passed to {@link #complete}
     */
    default boolean part(ByteBuf bytes) {
      return false;
    }

    /**
     * Takes the complete response.
     *
     * @param header returns a header's value by its name; null where it is absent
     * @param body what {@link #part} did not take
     */
    void complete(int status, Function<String, String> header, byte[] body);

    /**
     * Releases buffers: no further part comes. Called before {@link #complete}, and when the
     * connection breaks.
     */
    default void release() {}
  }

  /** One request's response, on its way from the connection to its reader. */
  private final class Exchange implements HttpClientRequest.ResponseHandler {

    private final long attempt;
    private final Address to;
    private final ResponseReader reader;
    private final CompositeByteBuf collected = Unpooled.compositeBuffer(MAX_BODY_COMPONENTS);
    private int status;
    private Function<String, String> header;

    Exchange(long attempt, Address to, ResponseReader reader) {
      this.attempt = attempt;
      this.to = to;
      this.reader = reader;
    }

    @Override
    public void head(int code, Function<String, String> headers) {
      status = code;
      header = headers;
    }

    @Override
    public void body(ByteBuf part) {
      bytesReceived += part.readableBytes();
      if (status == OK && reader.part(part)) {
        startTimeout(attempt, config.watchIdleTimeout(), to);
      } else if (collected.readableBytes() + part.readableBytes() > config.maxBodyBytes()) {
        fail(attempt, to + " answers with over " + config.maxBodyBytes() + " bytes");
      } else {
        collected.writeBytes(part);
      }
    }

    @Override
    public void end() {
      byte[] body = new byte[collected.readableBytes()];
      collected.readBytes(body);
      close();
      reader.complete(status, header, body);
    }

    @Override
    public void responseFailed(String why) {
      close();
      fail(attempt, to + ": " + why);
    }

    private void close() {
      collected.release();
      reader.release();
      cancelTimeout.run();
      open = null;
    }
  }
}
