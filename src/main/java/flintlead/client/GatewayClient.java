package flintlead.client;

import flintlead.time.Span;
import flintlead.transport.jsonrpc.LineDecoder;
import flintlead.transport.jsonrpc.Message;
import flintlead.transport.jsonrpc.MessageReader;
import flintlead.transport.jsonrpc.MessageWriter;
import flintlead.transport.jsonrpc.RpcException;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.loop.Transport;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One connection to a gateway's front. Lives on an event loop and is used from it only; its
 * callbacks come there too.
 */
public final class GatewayClient implements StreamListener, LineDecoder.LineHandler {

  private static final int MAX_FRAME = 8 << 20;
  private static final int MAX_UNSENT = 1 << 20;
  private static final int INVOKE_BUFFER = 256;
  private static final int CANCEL_BUFFER = 128;
  private static final double MICROS_PER_MILLI = 1e3;

  /** How far the connection's life has come. */
  private enum State {
    CONNECTING,
    OPEN,
    CLOSED
  }

  private final MessageReader reader = new MessageReader();
  private final LineDecoder decoder = new LineDecoder(MAX_FRAME, this);
  private final Map<Long, Consumer<ClientResponse>> pending = new HashMap<>();
  private final List<ByteBuf> queued = new ArrayList<>();
  private final Runnable whenClosed;
  private Stream stream;
  private long nextId = 1;
  private State state = State.CONNECTING;
  private long unmatchedResponses;

  private GatewayClient(Runnable whenClosed) {
    this.whenClosed = whenClosed;
  }

  /**
   * Begins to connect; what is sent before the connection is open waits for it.
   *
   * @param whenClosed runs once, when the connection has ended or could not be opened
   */
  public static <L extends EventExecutor & Transport> GatewayClient connect(
      L loop, Address to, Runnable whenClosed) {
    GatewayClient client = new GatewayClient(whenClosed);
    client.stream = loop.connect(to, client);
    return client;
  }

  /**
   * Invokes; null stands for a member left out.
   *
   * @param reply hears the one response; within this call if the connection has ended
   * @return the id, by which the invocation can be cancelled
   */
  public long invoke(
      String function,
      String triggerType,
      String customer,
      Span timeout,
      String token,
      byte[] payload,
      boolean repeat,
      Consumer<ClientResponse> reply) {
    long id = nextId++;
    if (state == State.CLOSED) {
      reply.accept(ClientResponse.lost("the connection has ended"));
      return id;
    }
    pending.put(id, reply);
    MessageWriter frame =
        MessageWriter.request(stream.alloc().buffer(INVOKE_BUFFER), id, "invoke")
            .put("function", function)
            .put("triggerType", triggerType);
    if (customer != null) {
      frame.put("customer", customer);
    }
    if (timeout != null) {
      frame.put("timeoutMs", timeout.micros() / MICROS_PER_MILLI);
    }
    if (token != null) {
      frame.put("token", token);
    }
    if (repeat) {
      frame.put("repeat", true);
    }
    if (payload != null) {
      frame.putJson("payload", payload);
    }
    write(frame.finishLine());
    return id;
  }

  /** Asks the gateway to cancel the invocation of that id; its response still comes. */
  public void cancel(long invocation) {
    if (state != State.CLOSED) {
      write(
          MessageWriter.request(stream.alloc().buffer(CANCEL_BUFFER), nextId++, "cancel")
              .put("id", invocation)
              .finishLine());
    }
  }

  private void write(ByteBuf bytes) {
    if (state == State.OPEN) {
      stream.write(bytes);
    } else {
      queued.add(bytes);
    }
  }

  /** Whether bytes pile up here, so that a sender had better wait. */
  public boolean isBackpressured() {
    return state == State.CONNECTING || stream.pendingBytes() > MAX_UNSENT;
  }

  /** Invocations without a response. */
  public int pendingCount() {
    return pending.size();
  }

  /** How many responses matched no invocation, or one that had its response. */
  public long unmatchedResponses() {
    return unmatchedResponses;
  }

  /** Whether responses are read; without it the gateway is held back once buffers are full. */
  public void setReading(boolean on) {
    stream.setAutoRead(on);
  }

  /** Closes the connection; what has no response is lost. */
  public void close() {
    stream.close();
    closed("closed here");
  }

  @Override
  public void opened() {
    if (state == State.CONNECTING) {
      state = State.OPEN;
    }
    queued.forEach(stream::write);
    queued.clear();
  }

  @Override
  public void received(ByteBuf bytes) {
    decoder.feed(bytes, stream.alloc());
  }

  @Override
  public void closed(String why) {
    if (state == State.CLOSED) {
      return;
    }
    state = State.CLOSED;
    decoder.close();
    queued.forEach(ByteBuf::release);
    queued.clear();
    List<Consumer<ClientResponse>> unanswered = new ArrayList<>(pending.values());
    pending.clear();
    unanswered.forEach(reply -> reply.accept(ClientResponse.lost(why)));
    whenClosed.run();
  }

  @Override
  public void lineTooLong(int most) {
    unmatchedResponses++;
  }

  @Override
  public void line(ByteBuf line) {
    try {
      byte[] text = MessageReader.validatedBytes(line);
      if (text != null) {
        responseReceived(reader.read(text));
      }
    } catch (RpcException e) {
      unmatchedResponses++;
    }
  }

  private void responseReceived(Message message) {
    Consumer<ClientResponse> reply = pending.remove(message.id().asNumber());
    if (reply != null) {
      reply.accept(ClientResponse.of(message));
    } else if (message.isError() || !message.result().has("cancelled")) {
      unmatchedResponses++;
    }
  }
}
