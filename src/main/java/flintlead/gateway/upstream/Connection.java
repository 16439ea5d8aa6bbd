package flintlead.gateway.upstream;

import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.dial.AddressSelector.FailureKind;
import flintlead.transport.jsonrpc.LineDecoder;
import flintlead.transport.jsonrpc.Message;
import flintlead.transport.jsonrpc.MessageReader;
import flintlead.transport.jsonrpc.MessageWriter;
import flintlead.transport.jsonrpc.RpcException;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One connection to a host, used on the gateway's event loop only. Before any request it checks the
 * host's name in a greeting: if the address led to another host, that host would get invocations
 * whose repeats its group can't recognise, so that they could run twice.
 */
final class Connection implements StreamListener, LineDecoder.LineHandler {

  private static final int REQUEST_BUFFER = 512;
  private static final int CONTROL_BUFFER = 128;
  private static final int PING_BUFFER = 64;

  private final UpstreamContext context;
  private final ConnectionListener listener;
  private final Address address;
  private final ConnectionHeartbeat heartbeat = new ConnectionHeartbeat();
  private final LineDecoder decoder;
  private final RequestSequence ids;
  private final Map<Long, Exchange> inFlight = new HashMap<>();
  private final long greetingId;
  private final WriteStall writeStall;
  private ConnectionState state = ConnectionState.CONNECTING;
  private Stream stream;
  private Moment usedAt;

  Connection(UpstreamContext context, ConnectionListener listener, Address address) {
    this.context = context;
    this.listener = listener;
    this.address = address;
    this.usedAt = now();
    this.decoder = new LineDecoder(context.limits().frameBytes(), this);
    this.ids = new RequestSequence(context.random());
    this.greetingId = ids.next();
    this.writeStall = new WriteStall(context.limits());
  }

  /** Sets the stream, which is still opening, and starts the timeout for connect and greeting. */
  void open(Stream opening) {
    stream = opening;
    context
        .loop()
        .scheduleAfter(
            context.limits().connectTimeout(),
            () -> {
              if (isConnecting()) {
                fail(FailureKind.HANDSHAKE_TIMEOUT, "no greeting in time");
              }
            });
  }

  private Moment now() {
    return context.loop().now();
  }

  // ---- state ----

  Address address() {
    return address;
  }

  boolean isConnecting() {
    return state == ConnectionState.CONNECTING;
  }

  /** Whether the host's greeting was accepted and the connection is ready or draining. */
  boolean isEstablished() {
    return state.isEstablished();
  }

  /** Whether the connection is being opened, or is open and takes new requests. */
  boolean isConnectingOrReady() {
    return state == ConnectionState.CONNECTING || state == ConnectionState.READY;
  }

  boolean isReady() {
    return state == ConnectionState.READY;
  }

  boolean isIdle() {
    return isReady() && inFlight.isEmpty();
  }

  /** Whether the host has been silent for longer than a live host would be. */
  boolean isSuspect() {
    return heartbeat.isSuspect() && state != ConnectionState.CLOSED;
  }

  /** When the connection last became ready or sent a request. */
  Moment usedAt() {
    return usedAt;
  }

  int requestsInFlight() {
    return inFlight.size();
  }

  /**
   * Whether a new request may be sent now.
   *
   * @param onlyAddress whether the host has no other address; suspect connections then count too
   */
  boolean acceptsRequests(boolean onlyAddress) {
    return isReady()
        && (!isSuspect() || onlyAddress)
        && inFlight.size() < context.limits().requestsPerConnection()
        && !writeStall.isStalled(stream);
  }

  // ---- heartbeat ----

  /** Whether a response is due: to the greeting, a ping or a request. */
  boolean isAwaitingHost() {
    return state != ConnectionState.CLOSED
        && (!inFlight.isEmpty() || heartbeat.isPinging() || isConnecting());
  }

  /** Since when a response is due and none was received; null if none is due. */
  Moment silentSince() {
    return heartbeat.silentSince();
  }

  /** Whether all that had come was read once the host had answered on the other connection. */
  boolean wasReadAfterAnswerOn(Connection other) {
    return !stream.quietAt().isBefore(other.heartbeat.receivedAt());
  }

  boolean receivedAfter(Moment moment) {
    return heartbeat.receivedAfter(moment);
  }

  /** Sends a ping, unless one is unanswered or too many bytes are unsent. */
  void ping() {
    if (!heartbeat.isPinging()
        && state != ConnectionState.CLOSED
        && !writeStall.isStalled(stream)) {
      long id = ids.next();
      heartbeat.pingSent(id, now());
      stream.write(
          MessageWriter.request(stream.alloc().buffer(PING_BUFFER), id, "ping").finishLine());
    }
  }

  /** Updates whether the host is suspect, and sends a ping if one is due. */
  void checkHeartbeat(Moment now) {
    if (isEstablished() && heartbeat.check(now, !inFlight.isEmpty())) {
      ping();
    }
  }

  // ---- requests ----

  void send(Exchange exchange) {
    long id = ids.nextRequest();
    usedAt = now();
    exchange.markSent(this, id, usedAt);
    inFlight.put(id, exchange);
    heartbeat.requestSent(usedAt);
    ByteBuf bytes = stream.alloc().buffer(REQUEST_BUFFER);
    MessageWriter frame = MessageWriter.request(bytes, id, exchange.method());
    exchange.params(frame);
    stream.write(frame.finishLine());
    writeStall.written(stream, usedAt);
  }

  /** Sends the host a cancel for the request and stops waiting for its response. */
  void cancel(Exchange exchange) {
    if (inFlight.remove(exchange.requestId()) != null && state != ConnectionState.CLOSED) {
      stream.write(
          MessageWriter.notification(stream.alloc().buffer(CONTROL_BUFFER), "cancel")
              .put("id", exchange.requestId())
              .finishLine());
      closeIfDrained();
    }
  }

  /** Removes and returns the idempotent requests in flight; late responses are only counted. */
  List<Exchange> removeIdempotent() {
    List<Exchange> removed = new ArrayList<>();
    inFlight.values().removeIf(exchange -> exchange.isIdempotent() && removed.add(exchange));
    return removed;
  }

  /** Whether the host has received the request; if not, a kernel may still send or resend it. */
  boolean isAcknowledged(Exchange exchange) {
    return ids.isAcknowledged(exchange.requestId());
  }

  /** Whether the open connection has requests that the host is not known to have received. */
  boolean hasUnacknowledged() {
    return ids.hasUnacknowledged() && state != ConnectionState.CLOSED;
  }

  // ---- end ----

  /** Resets the connection, so that bytes still buffered in the kernel are never sent. */
  void reset(String reason) {
    fail(FailureKind.UNRESPONSIVE, reason);
  }

  /** Stops taking requests and closes once the last request in flight has ended. */
  void drain() {
    if (isReady()) {
      state = state.to(ConnectionState.DRAINING);
      closeIfDrained();
    } else if (isConnecting()) {
      closeGracefully();
    }
  }

  private void closeIfDrained() {
    if (state == ConnectionState.DRAINING && inFlight.isEmpty()) {
      closeGracefully();
    }
  }

  private void closeGracefully() {
    boolean unacknowledged = ids.hasUnacknowledged();
    markClosed();
    if (unacknowledged) {
      // After a plain close the kernel still sends its buffer: a withdrawn request could arrive.
      stream.abort();
    } else {
      stream.close();
    }
    listener.connectionClosed(this);
  }

  private void markClosed() {
    state = state.to(ConnectionState.CLOSED);
    decoder.close();
    context.recordPartialMessage(this, 0);
  }

  /** Closes at once, without a call to the listener. */
  void abort() {
    if (state != ConnectionState.CLOSED) {
      markClosed();
      stream.abort();
    }
  }

  /** Fails the connection if the host has left too many bytes unread for too long. */
  void checkWrites(Moment now) {
    if (writeStall.hasTimedOut(stream, now)) {
      fail(FailureKind.UNRESPONSIVE, "the host reads nothing");
    }
  }

  void fail(FailureKind kind, String reason) {
    if (state == ConnectionState.CLOSED) {
      return;
    }
    markClosed();
    stream.abort();
    List<Exchange> unanswered = new ArrayList<>(inFlight.values());
    inFlight.clear();
    listener.connectionFailed(this, kind, reason);
    listener.requestsLost(unanswered, "connection lost: " + reason);
  }

  // ---- from the stream ----

  @Override
  public void opened() {
    if (state != ConnectionState.CLOSED) {
      stream.write(
          MessageWriter.request(stream.alloc().buffer(CONTROL_BUFFER), greetingId, "hello")
              .put("gateway", context.gatewayName())
              .put("host", listener.hostName())
              .finishLine());
    }
  }

  @Override
  public void received(ByteBuf bytes) {
    decoder.feed(bytes, stream.alloc());
    context.recordPartialMessage(this, decoder.partialLineBytes());
  }

  @Override
  public void flushed() {
    writeStall.drained();
    listener.connectionWritable();
  }

  @Override
  public void closed(String why) {
    fail(isConnecting() ? FailureKind.REFUSED : FailureKind.RESET, why);
  }

  @Override
  public void lineTooLong(int most) {
    fail(FailureKind.RESET, "an answer of over " + most + " bytes");
  }

  @Override
  public void line(ByteBuf line) {
    try {
      byte[] text = MessageReader.validatedBytes(line);
      if (text != null) {
        messageReceived(context.reader().read(text));
      }
    } catch (RpcException e) {
      fail(FailureKind.RESET, "a frame that can't be read: " + e.getMessage());
    }
  }

  // ---- messages ----

  private void messageReceived(Message message) {
    if (!message.isResponse()) {
      if (message.method().equals("draining")) {
        listener.hostDraining();
      }
      return;
    }
    long id = message.id().asNumber();
    if (id == greetingId && isConnecting()) {
      greetingAnswered(message);
      return;
    }
    ids.acknowledge(id);
    boolean pong = heartbeat.answerReceived(id, now());
    listener.responseReceived(this);
    if (!pong) {
      responseReceived(id, message);
    }
  }

  private void responseReceived(long id, Message message) {
    Exchange exchange = inFlight.remove(id);
    if (exchange == null) {
      if (ids.wasIssued(id)) {
        listener.lateResponse();
      } else {
        fail(
            FailureKind.RESET,
            "an answer to a request that was never made: " + message.id().json());
      }
      return;
    }
    if (message.isError()) {
      Outcome outcome = HostErrorCodes.outcome(message.errorCode());
      if (message.errorCode() == HostErrorCodes.DRAINING) {
        listener.hostDraining();
      }
      listener.requestAnswered(exchange, outcome);
      exchange.end(
          ExchangeResult.error(
              outcome, message.data().isTrue("loadFailed"), message.errorMessage()));
    } else {
      listener.requestAnswered(exchange, Outcome.OK);
      exchange.end(ExchangeResult.ok(message.result()));
    }
    if (state != ConnectionState.CLOSED) {
      closeIfDrained();
      listener.connectionWritable();
    }
  }

  private void greetingAnswered(Message message) {
    String host = message.isError() ? null : message.result().string("host");
    String processStart = message.isError() ? null : message.result().string("start");
    if (!listener.hostName().equals(host) || processStart == null) {
      fail(
          FailureKind.WRONG_HOST,
          "there answers " + (host == null ? "no host" : "host '" + host + "'"));
      return;
    }
    if (!listener.acceptsProcess(this, processStart)) {
      fail(FailureKind.WRONG_HOST, "there answers another process of the name");
      return;
    }
    state = state.to(ConnectionState.READY);
    usedAt = now();
    heartbeat.responseReceived(usedAt);
    listener.responseReceived(this);
    double ageMillis = Math.max(0, message.result().number("ageMs", 0));
    listener.connectionReady(this, Span.ofMillis(ageMillis));
  }
}
