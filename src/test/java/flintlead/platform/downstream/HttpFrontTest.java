package flintlead.platform.downstream;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.helpers.NOPLogger;

/** Notifications about connections that the front closes itself. */
@Timeout(30)
class HttpFrontTest {

  private static final String REQUEST =
      "POST /call/00000000000000aa/fire HTTP/1.1\r\nHost: api\r\nX-Txn: 0000000000000001\r\n"
          + "X-Class: check\r\nX-Merchant: mill\r\nX-Ttl-Ms: 1000\r\nContent-Length: 0\r\n\r\n";

  private final NettyEventLoop loop = new NettyEventLoop("front");
  private final SilentHandler handler = new SilentHandler();

  @AfterEach
  void closeLoop() {
    loop.close();
  }

  /** Accepts invocations and responds to none. */
  private static final class SilentHandler implements InvocationHandler {
    final List<Long> submitted = new CopyOnWriteArrayList<>();
    final List<String> notifications = new CopyOnWriteArrayList<>();

    @Override
    public boolean isOpen(long invocation) {
      return false;
    }

    @Override
    public void submit(
        Invocation invocation, ByteBuf body, Moment earliestArrival, ResponseCallback client) {
      submitted.add(invocation.id());
    }

    @Override
    public void clientDisconnected(long invocation) {
      notifications.add(invocation + " disconnected");
    }

    @Override
    public void closedUnanswered(long invocation, CloseCause cause) {
      notifications.add(invocation + " unanswered " + cause);
    }

    @Override
    public Span retryAfter() {
      return Span.ofMillis(100);
    }
  }

  /** Ignores all notifications. */
  private static final class NoEvents implements HttpFront.Events {
    @Override
    public void connectionClosed(CloseCause cause) {}

    @Override
    public void closedByClient() {}
  }

  /**
   * Starts an invocation, closes the front with the cause, and returns the handler's notifications.
   */
  private List<String> closeDuringInvocation(CloseCause cause) throws IOException {
    InvocationRequestParser parser =
        new InvocationRequestParser(List.of("check"), List.of(false), List.of("mill"));
    HttpFront front =
        new HttpFront(loop, loop, handler, parser, 8, new NoEvents(), NOPLogger.NOP_LOGGER);
    Address.Tcp address = (Address.Tcp) front.listen(new Address.Tcp("127.0.0.1", 0));
    try (Socket client = new Socket("127.0.0.1", address.port())) {
      client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
      await().until(() -> !handler.submitted.isEmpty());
      loop.execute(() -> front.close(cause));
      await().until(() -> handler.notifications.contains("1 disconnected"));
    }
    return handler.notifications;
  }

  @Test
  void closingDuringAnOpenInvocationIsReported() throws Exception {
    assertEquals(
        List.of("1 unanswered SHUTDOWN", "1 disconnected"),
        closeDuringInvocation(CloseCause.SHUTDOWN));
  }

  @Test
  void aKillDuringAnOpenInvocationIsNotReported() throws Exception {
    assertEquals(List.of("1 disconnected"), closeDuringInvocation(CloseCause.KILLED));
  }
}
