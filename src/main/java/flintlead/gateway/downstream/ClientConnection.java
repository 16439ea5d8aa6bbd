package flintlead.gateway.downstream;

import flintlead.gateway.ClientView;
import flintlead.gateway.InvocationHandler;
import flintlead.gateway.InvocationResponse;
import flintlead.routing.admission.AdmissionController;
import flintlead.routing.admission.ConnectionLimiter;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.jsonrpc.JsonMembers;
import flintlead.transport.jsonrpc.LineDecoder;
import flintlead.transport.jsonrpc.Message;
import flintlead.transport.jsonrpc.MessageId;
import flintlead.transport.jsonrpc.MessageReader;
import flintlead.transport.jsonrpc.MessageWriter;
import flintlead.transport.jsonrpc.RpcException;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import io.netty.buffer.ByteBuf;
import java.util.List;

/**
 * One client's connection, on the gateway's event loop. Whatever comes in, the worst that happens
 * is an error to this client.
 */
final class ClientConnection implements StreamListener, LineDecoder.LineHandler {

  private static final int RESPONSE_BUFFER = 256;

  private final ClientFront front;
  private final InvocationHandler gateway;
  private final Stream stream;
  private final LineDecoder decoder;
  private final AdmissionController.Source source = new AdmissionController.Source();
  private final ConnectionLimiter<ClientConnection>.TrackedConnection tracked;
  private final ClientInvocations invocations;
  private final ResponseBatches batches;
  private final ReadGate readGate;
  private boolean closed;

  ClientConnection(ClientFront front, Stream stream) {
    this.front = front;
    this.gateway = front.gateway();
    this.stream = stream;
    this.decoder = new LineDecoder(front.limits().frameBytes(), this);
    this.tracked = front.limiter().add(this, now());
    this.invocations = new ClientInvocations(gateway, source, ClientView.of(stream), this::setBusy);
    this.batches = new ResponseBatches(stream, this::write);
    this.readGate =
        new ReadGate(
            gateway.loop(),
            gateway.admission(),
            source,
            stream,
            decoder,
            () -> closed,
            this::noteUnsent);
  }

  private Moment now() {
    return gateway.loop().now();
  }

  private void setBusy(boolean busy) {
    if (busy || !closed) {
      front.limiter().setBusy(tracked, busy, now());
    }
  }

  // ---- from the stream ----

  @Override
  public void received(ByteBuf bytes) {
    decoder.feed(bytes, stream.alloc());
    if (!closed) {
      front.recordPartialLine(this, decoder.partialLineBytes());
    }
  }

  /** Refuses the line that has not ended; the lines after it are read as usual. */
  void refusePartialLine() {
    decoder.skipPartialLine();
    write(
        MessageWriter.error(
                stream.alloc().buffer(RESPONSE_BUFFER),
                MessageId.NULL,
                ResponseEncoder.THROTTLED,
                "unfinished lines take too much of the gateway's memory")
            .put("retryInMs", gateway.admission().retryAfter().micros() / 1000)
            .finishLine());
  }

  @Override
  public void flushed() {
    noteUnsent();
    readGate.resumeIfRoom();
  }

  @Override
  public void closed(String why) {
    if (closed) {
      return;
    }
    closed = true;
    front.recordPartialLine(this, 0);
    front.recordUnread(this, 0);
    decoder.close();
    front.connectionClosed(this);
    front.limiter().remove(tracked);
    batches.dropAll();
    invocations.abandonAll();
  }

  /** Closes after what was written has left. */
  void close() {
    stream.close();
    closed("closed here");
  }

  /** Closes at once. */
  void abort() {
    stream.abort();
    closed("closed here");
  }

  // ---- messages ----

  @Override
  public void lineTooLong(int most) {
    respondError(
        direct(),
        new RpcException(
            RpcException.INVALID_REQUEST, "a line has at most " + most + " bytes", null));
  }

  @Override
  public void line(ByteBuf line) {
    try {
      byte[] text = MessageReader.validatedBytes(line);
      if (text == null) {
        return;
      }
      if (MessageReader.isBatch(text)) {
        batchReceived(front.reader().splitBatch(text));
      } else {
        messageReceived(front.reader().read(text), direct(), null);
      }
    } catch (RpcException e) {
      respondError(direct(), e);
    }
    readGate.pauseIfFull();
  }

  /** A batch's responses leave together, so they have one timeout: the shortest of its members. */
  private void batchReceived(List<byte[]> texts) {
    ResponseSink batch = batches.open(texts.size());
    List<BatchElement> elements =
        texts.stream().map(text -> BatchElement.read(front.reader(), text)).toList();
    Span timeout = shortestTimeout(elements);
    for (BatchElement element : elements) {
      if (element instanceof BatchElement.Malformed malformed) {
        respondError(batch, malformed.error());
      } else if (element instanceof BatchElement.Readable readable) {
        messageReceived(readable.message(), batch, timeout);
      }
    }
  }

  private Span shortestTimeout(List<BatchElement> elements) {
    Span shortest = null;
    for (BatchElement element : elements) {
      Span timeout =
          element instanceof BatchElement.Readable readable ? timeout(readable.message()) : null;
      if (timeout != null) {
        shortest = shortest == null ? timeout : Span.shorter(shortest, timeout);
      }
    }
    return shortest;
  }

  /** The timeout that an invocation would have outside of a batch; null for any other message. */
  private Span timeout(Message message) {
    if (!"invoke".equals(message.method()) || message.id() == null) {
      return null;
    }
    JsonMembers params = RequestParser.paramsOrNone(message);
    return params.has("timeoutMs")
        ? Span.ofMillis(params.number("timeoutMs", 0))
        : gateway.clientTimeout(params.string("triggerType"));
  }

  private void messageReceived(Message message, ResponseSink sink, Span batchTimeout) {
    if (message.isNotification()) {
      // No response can go back to it, and every accepted invocation needs one: it is not run.
      sink.complete(null);
      return;
    }
    try {
      requestReceived(message, sink, batchTimeout);
    } catch (RpcException e) {
      respondError(sink, e);
    }
  }

  private void requestReceived(Message message, ResponseSink sink, Span batchTimeout)
      throws RpcException {
    MessageId id = message.id();
    JsonMembers params = RequestParser.params(message);
    switch (message.method()) {
      case "invoke" ->
          invocations.submit(
              id,
              RequestParser.invocation(id, params, batchTimeout),
              (requestId, response) -> respond(requestId, response, sink));
      case "cancel" -> {
        boolean cancelled = invocations.cancel(RequestParser.cancelledId(id, params));
        sink.complete(MessageWriter.result(sink.buffer(), id).put("cancelled", cancelled));
      }
      case "ping" -> sink.complete(MessageWriter.result(sink.buffer(), id));
      default -> answerQuery(message, sink);
    }
  }

  private void answerQuery(Message message, ResponseSink sink) throws RpcException {
    byte[] json = gateway.answerQuery(message.method());
    if (json == null) {
      throw new RpcException(
          RpcException.METHOD_NOT_FOUND,
          "there is no method '" + message.method() + "'; there are invoke, cancel and ping",
          message.id());
    }
    sink.complete(
        MessageWriter.result(sink.buffer(), message.id()).putJson(message.method(), json));
  }

  // ---- responses ----

  private void respond(MessageId id, InvocationResponse response, ResponseSink sink) {
    if (closed) {
      return;
    }
    sink.complete(ResponseEncoder.encode(sink.buffer(), id, response));
    readGate.resumeIfRoom();
  }

  private void respondError(ResponseSink sink, RpcException e) {
    if (!closed) {
      sink.complete(MessageWriter.error(sink.buffer(), e.id(), e.code(), e.getMessage()));
    }
  }

  private ResponseSink direct() {
    return new ResponseSink() {
      @Override
      public ByteBuf buffer() {
        return stream.alloc().buffer(RESPONSE_BUFFER);
      }

      @Override
      public void complete(MessageWriter frame) {
        if (frame != null) {
          write(frame.finishLine());
        }
      }
    };
  }

  private void write(ByteBuf bytes) {
    stream.write(bytes);
    noteUnsent();
  }

  private long unreadBytes() {
    return stream.pendingBytes() + batches.bufferedBytes();
  }

  /** Tells admission control what the client has not read; one that reads too late is cut off. */
  private void noteUnsent() {
    long unread = unreadBytes();
    gateway.admission().recordUnsent(source, unread, now());
    if (!closed) {
      front.recordUnread(this, unread);
    }
    if (unread > 0) {
      front.scheduleReaderCheck();
    }
    if (gateway.admission().shouldClose(source, now())) {
      gateway.loop().scheduleAt(now(), this::abort);
    }
  }

  /** Closes the connection if bytes stay unsent when all have been handed to the kernel. */
  void closeIfUnread() {
    stream.flush();
    if (!closed && unreadBytes() > 0) {
      gateway.loop().scheduleAt(now(), this::abort);
    }
  }

  /** Looks after unread responses; returns whether there are any. */
  boolean checkReader() {
    noteUnsent();
    readGate.resumeIfRoom();
    return !closed && unreadBytes() > 0;
  }
}
