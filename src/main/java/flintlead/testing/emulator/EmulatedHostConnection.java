package flintlead.testing.emulator;

import flintlead.gateway.upstream.HostErrorCodes;
import flintlead.time.Moment;
import flintlead.transport.jsonrpc.JsonMembers;
import flintlead.transport.jsonrpc.LineDecoder;
import flintlead.transport.jsonrpc.Message;
import flintlead.transport.jsonrpc.MessageId;
import flintlead.transport.jsonrpc.MessageReader;
import flintlead.transport.jsonrpc.MessageWriter;
import flintlead.transport.jsonrpc.RpcException;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * One connection of a gateway to an emulated host: the hosts' protocol, with faults by script. On
 * the host's loop.
 */
final class EmulatedHostConnection implements StreamListener, LineDecoder.LineHandler {

  private static final int MAX_LINE_BYTES = 4 << 20;
  private static final int BUFFER_BYTES = 256;

  private final HostEmulator host;
  private final EventExecutor loop;
  private final Stream stream;
  private final Random random;
  private final MessageReader reader;
  private final LineDecoder decoder = new LineDecoder(MAX_LINE_BYTES, this);

  /** Accepted and not answered yet, by request id. */
  private final Map<MessageId, EmulatedInvocation> invocations = new HashMap<>();

  private String gateway = "?";

  /** Nothing more is written. */
  private boolean dead;

  EmulatedHostConnection(
      HostEmulator host, EventExecutor loop, Stream stream, Random random, MessageReader reader) {
    this.host = host;
    this.loop = loop;
    this.stream = stream;
    this.random = random;
    this.reader = reader;
  }

  /** The name that the gateway gave in its greeting. */
  String gateway() {
    return gateway;
  }

  void abort() {
    stream.abort();
  }

  // ---- writing ----

  ByteBuf buffer() {
    return stream.alloc().buffer(BUFFER_BYTES);
  }

  void write(MessageWriter message) {
    ByteBuf bytes = message.finishLine();
    HostFaults faults = host.faults;
    if (dead || faults.readsNothing) {
      bytes.release();
    } else if (loop.now().isBefore(faults.pausedUntil)) {
      loop.scheduleAt(faults.pausedUntil, () -> stream.write(bytes));
    } else if (random.nextDouble() < faults.resetRate) {
      writeHalf(bytes);
      stream.close();
    } else if (random.nextDouble() < faults.truncationRate) {
      writeHalf(bytes);
    } else {
      stream.write(bytes);
    }
  }

  private void writeHalf(ByteBuf bytes) {
    stream.write(bytes.writerIndex(bytes.writerIndex() / 2));
    dead = true;
  }

  void sendError(MessageId id, int code, String why, boolean loadFailed) {
    invocations.remove(id);
    write(MessageWriter.error(buffer(), id, code, why).put("loadFailed", loadFailed));
  }

  void sendResult(EmulatedInvocation invocation) {
    invocations.remove(invocation.id);
    int reported = host.reportedWaiting();
    boolean wrongId = random.nextDouble() < host.faults.wrongIdRate;
    MessageId id = wrongId ? MessageId.of(invocation.id.asNumber() + 1) : invocation.id;
    write(
        MessageWriter.result(buffer(), id)
            .putJson("payload", invocation.payload)
            .put("copy", invocation.copy)
            .put("crowd", invocation.concurrency)
            .put("waiting", reported));
  }

  void sendLoaded(MessageId id, int copies) {
    write(MessageWriter.result(buffer(), id).put("copies", copies));
  }

  void sendDraining() {
    write(MessageWriter.notification(buffer(), "draining"));
  }

  // ---- reading ----

  @Override
  public void received(ByteBuf bytes) {
    if (!host.faults.readsNothing) {
      decoder.feed(bytes, stream.alloc());
    }
  }

  @Override
  public void closed(String why) {
    decoder.close();
    dead = true;
    host.disconnected(this);
  }

  @Override
  public void lineTooLong(int maxBytes) {
    stream.close();
  }

  @Override
  public void line(ByteBuf line) {
    try {
      byte[] text = MessageReader.validatedBytes(line);
      if (text == null) {
        return;
      }
      Message message = reader.read(text);
      Moment receivedAt = loop.now();
      Moment pausedUntil = host.faults.pausedUntil;
      if (receivedAt.isBefore(pausedUntil)) {
        loop.scheduleAt(pausedUntil, () -> handle(message, receivedAt));
      } else {
        handle(message, receivedAt);
      }
    } catch (RpcException e) {
      write(MessageWriter.error(buffer(), e.id(), e.code(), e.getMessage()));
    }
  }

  private void handle(Message message, Moment receivedAt) {
    JsonMembers params = message.params() == null ? JsonMembers.NONE : message.params();
    MessageId id = message.id();
    switch (message.method() == null ? "" : message.method()) {
      case "hello" -> greet(id, params);
      case "run" -> host.invoke(this, id, params, receivedAt);
      case "cancel" -> cancel(params);
      case "load" -> host.orderLoad(this, id, params, receivedAt);
      case "unload" -> {
        host.unload(params.string("function"));
        write(MessageWriter.result(buffer(), id));
      }
      case "ping" -> write(MessageWriter.result(buffer(), id));
      case "probe" -> answerProbe(id);
      default ->
          write(
              MessageWriter.error(
                  buffer(),
                  id == null ? MessageId.NULL : id,
                  RpcException.METHOD_NOT_FOUND,
                  "no such method"));
    }
  }

  private void answerProbe(MessageId id) {
    if (host.isDraining()) {
      sendError(id, HostErrorCodes.DRAINING, "drains", false);
    } else {
      write(MessageWriter.result(buffer(), id).put("waiting", host.waiting()));
    }
  }

  private void greet(MessageId id, JsonMembers params) {
    gateway = params.string("gateway");
    write(
        MessageWriter.result(buffer(), id)
            .put("host", host.name())
            .put("start", host.processName())
            .put("ageMs", host.reportedAgeMs()));
    if (host.isDraining()) {
      sendDraining();
    }
  }

  /** The invocation is answered on this connection. */
  void register(EmulatedInvocation invocation) {
    invocations.put(invocation.id, invocation);
  }

  private void cancel(JsonMembers params) {
    EmulatedInvocation invocation = invocations.get(MessageId.of((long) params.number("id", 0)));
    if (invocation != null) {
      host.cancel(invocation);
    }
  }
}
