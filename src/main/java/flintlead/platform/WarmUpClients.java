package flintlead.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;

import flintlead.time.Moment;
import flintlead.transport.netty.NettyEventLoop;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The clients of a warm-up: a few connections, each of which sends one invocation after another.
 */
final class WarmUpClients {

  private static final int CONNECTIONS = 6;
  private static final int FUNCTIONS = 40;
  private static final int MAX_INVOCATIONS = 6_000;
  private static final int RESPONSE_BUFFER_BYTES = 1_024;
  private static final int FAULTY_CLIENTS = 8;

  /** Number of the first invocation of a faulty client; {@link #invoke} does not reach it. */
  private static final int FIRST_FAULTY_NUMBER = 10_000;

  private WarmUpClients() {}

  /** Sends invocations until the end time or until {@link #MAX_INVOCATIONS} were sent; blocks. */
  static void invoke(Path socket, Moment end) throws IOException {
    List<SocketChannel> clients = new ArrayList<>();
    ByteBuffer response = ByteBuffer.allocate(RESPONSE_BUFFER_BYTES);
    try {
      for (int i = 0;
          i < MAX_INVOCATIONS && NettyEventLoop.clock().isBefore(end);
          i += CONNECTIONS) {
        for (int c = 0; c < CONNECTIONS; c++) {
          if (clients.size() == c) {
            clients.add(SocketChannel.open(UnixDomainSocketAddress.of(socket)));
          }
          clients.get(c).write(request(i + c));
        }
        for (SocketChannel client : clients) {
          response.clear();
          client.read(response);
        }
      }
    } finally {
      for (SocketChannel client : clients) {
        client.close();
      }
    }
  }

  /**
   * Like {@link #invoke}, but before it some clients disconnect early, pipeline requests, send
   * malformed input, or wait for responses that no host sends.
   */
  static void invokeWithFaults(Path socket, Moment end) throws IOException {
    for (int i = 0; i < FAULTY_CLIENTS; i++) {
      try (SocketChannel leaving = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
        leaving.write(request(FIRST_FAULTY_NUMBER + i));
      }
      try (SocketChannel ahead = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
        ahead.write(request(FIRST_FAULTY_NUMBER + FAULTY_CLIENTS + i));
        ahead.write(
            ByteBuffer.wrap("GET /ping HTTP/1.1\r\n\r\nno request\r\n\r\n".getBytes(US_ASCII)));
        readToEnd(ahead);
      }
    }
    invoke(socket, end);
  }

  private static void readToEnd(SocketChannel client) throws IOException {
    ByteBuffer response = ByteBuffer.allocate(RESPONSE_BUFFER_BYTES);
    while (client.read(response) >= 0) {
      response.clear();
    }
  }

  private static ByteBuffer request(int number) {
    String triggerType =
        number % 2 == 0 ? "X-Class: a" : "X-Class: b\r\nX-Txn-Key: 0123456789abcdef";
    String text =
        "POST /call/"
            + String.format("%016x", number % FUNCTIONS)
            + "/fire HTTP/1.1\r\n"
            + triggerType
            + "\r\nX-Merchant: m\r\nX-Ttl-Ms: 1000\r\nX-Txn: "
            + String.format("%016x", number)
            + "\r\nX-Cpu-Hint: 8.5\r\nX-More: memory_mb:512;lanes:2;load_ms:640\r\n"
            + "Content-Length: 4\r\n\r\nbody";
    return ByteBuffer.wrap(text.getBytes(US_ASCII));
  }
}
