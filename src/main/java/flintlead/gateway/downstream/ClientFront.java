package flintlead.gateway.downstream;

import flintlead.gateway.Flintlead;
import flintlead.gateway.InvocationHandler;
import flintlead.routing.admission.ConnectionLimiter;
import flintlead.routing.admission.SharedByteLimit;
import flintlead.time.Span;
import flintlead.transport.jsonrpc.MessageId;
import flintlead.transport.jsonrpc.MessageReader;
import flintlead.transport.jsonrpc.MessageWriter;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.loop.Transport;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** A socket that a gateway's clients connect to. All but the binding runs on the event loop. */
public final class ClientFront implements InvocationHandler.ShutdownListener {

  /** How often connections with unread responses are looked at. */
  private static final Span READER_CHECK_INTERVAL = Span.ofMillis(250);

  private final InvocationHandler gateway;
  private final FrontLimits limits;
  private final MessageReader reader = new MessageReader();
  private final ConnectionLimiter<ClientConnection> limiter;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();
  private final SharedByteLimit<ClientConnection> partialLines;
  private final SharedByteLimit<ClientConnection> unread;
  private Transport.ListeningSocket listening;
  private boolean readerCheckScheduled;
  private boolean closed;

  private ClientFront(InvocationHandler gateway, FrontLimits limits) {
    this.gateway = gateway;
    this.limits = limits;
    this.limiter = new ConnectionLimiter<>(limits.maxConnections(), limits.evictableAfterIdle());
    this.partialLines = new SharedByteLimit<>(limits.partialLineBytes());
    this.unread = new SharedByteLimit<>(limits.unreadBytes());
  }

  /**
   * Opens a socket at the address. Not to be called on the gateway's event loop, for which it
   * waits.
   *
   * @return where it listens
   * @throws IOException if the address can't be bound
   */
  public static Address open(Flintlead gateway, Address at, FrontLimits limits) throws IOException {
    CompletableFuture<Transport> transport = new CompletableFuture<>();
    CompletableFuture<ClientFront> made = new CompletableFuture<>();
    gateway.withHandler(
        handler -> {
          made.complete(new ClientFront(handler, limits));
          transport.complete(handler.transport());
        });
    try {
      ClientFront front = made.join();
      // Bound from this thread: a wait for the loop on the loop itself would never end.
      Transport.ListeningSocket listening = transport.join().listen(at, front::accept);
      gateway.withHandler(
          handler -> {
            front.listening = listening;
            handler.addShutdownListener(front);
          });
      return listening.address();
    } catch (CompletionException e) {
      throw new IOException(e.getCause());
    }
  }

  InvocationHandler gateway() {
    return gateway;
  }

  FrontLimits limits() {
    return limits;
  }

  MessageReader reader() {
    return reader;
  }

  ConnectionLimiter<ClientConnection> limiter() {
    return limiter;
  }

  private StreamListener accept(Stream stream) {
    ConnectionLimiter<ClientConnection>.TrackedConnection evicted =
        limiter.evictionCandidate(gateway.loop().now());
    if (evicted != null) {
      evicted.connection().close();
    }
    if (closed || !limiter.canAccept(gateway.loop().now())) {
      return new RejectedConnection(stream);
    }
    ClientConnection connection = new ClientConnection(this, stream);
    connections.add(connection);
    return connection;
  }

  void connectionClosed(ClientConnection connection) {
    connections.remove(connection);
  }

  /**
   * Records the memory of a line that has not ended. Above the limit, the lines that began first
   * are refused: usual clients send a line at once.
   */
  void recordPartialLine(ClientConnection connection, int bytes) {
    partialLines.record(connection, bytes);
    while (partialLines.isExceeded()) {
      ClientConnection longest = partialLines.longestHolder();
      partialLines.record(longest, 0);
      longest.refusePartialLine();
    }
  }

  /**
   * Records the bytes of responses that a client has not read. Above the limit, the connections
   * whose clients have left some unread for the longest time are closed.
   */
  void recordUnread(ClientConnection connection, long bytes) {
    unread.record(connection, bytes);
    while (unread.isExceeded()) {
      ClientConnection longest = unread.longestHolder();
      unread.record(longest, 0);
      longest.closeIfUnread();
    }
  }

  /** Looks after connections whose clients leave responses unread, while there are any. */
  void scheduleReaderCheck() {
    if (!readerCheckScheduled) {
      readerCheckScheduled = true;
      gateway.loop().scheduleAfter(READER_CHECK_INTERVAL, this::checkReaders);
    }
  }

  private void checkReaders() {
    readerCheckScheduled = false;
    boolean complete = false;
    boolean anyUnread = false;
    try {
      for (ClientConnection connection : new ArrayList<>(connections)) {
        anyUnread |= connection.checkReader();
      }
      complete = true;
    } finally {
      if (anyUnread || !complete) {
        scheduleReaderCheck();
      }
    }
  }

  @Override
  public void stopAccepting() {
    if (listening != null) {
      listening.close();
    }
  }

  @Override
  public void close() {
    closed = true;
    stopAccepting();
    new ArrayList<>(connections).forEach(ClientConnection::close);
  }

  @Override
  public void abort() {
    closed = true;
    stopAccepting();
    new ArrayList<>(connections).forEach(ClientConnection::abort);
  }

  /** A connection over the limit: told so, and closed. */
  private final class RejectedConnection implements StreamListener {

    private final Stream stream;

    RejectedConnection(Stream stream) {
      this.stream = stream;
    }

    @Override
    public void opened() {
      stream.write(
          MessageWriter.error(
                  stream.alloc().buffer(),
                  MessageId.NULL,
                  ResponseEncoder.THROTTLED,
                  "the gateway has as many connections as it takes")
              .put("retryInMs", gateway.admission().retryAfter().micros() / 1000)
              .finishLine());
      stream.close();
    }

    @Override
    public void received(ByteBuf bytes) {
      // Nothing is read from it.
    }

    @Override
    public void closed(String why) {
      // Nothing of it is kept.
    }
  }
}
