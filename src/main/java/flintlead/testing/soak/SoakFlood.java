package flintlead.testing.soak;

import flintlead.transport.loop.Address;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * Clients that send small or unsound requests at full speed. Some of them read nothing and leave
 * again and again with much unread, others read all responses.
 */
final class SoakFlood {

  private static final int CLIENTS = 4;

  /**
   * Clients that leave with much unread; more than none is known to break invariants (issue 49).
   */
  private static final int LEAVING_CLIENTS = 0;

  private static final int MESSAGES_PER_WRITE = 500;
  private static final int MAX_WRITES_BEFORE_LEAVING = 40;
  private static final int READ_BUFFER_BYTES = 64 * 1024;
  private static final int RECONNECT_MILLIS = 5;

  private static final List<String> MESSAGES =
      List.of(
          "GET /ping HTTP/1.1\r\nHost: api\r\n\r\n",
          "GET /none HTTP/1.1\r\nHost: api\r\n\r\n",
          "PUT /ping HTTP/1.1\r\nHost: api\r\nContent-Length: 0\r\n\r\n",
          "POST /call/00000000000000aa/fire HTTP/1.1\r\nX-Class: none\r\nContent-Length: 0\r\n\r\n");

  private final Address.Tcp address;
  private final BooleanSupplier goesOn;

  private SoakFlood(Address.Tcp address, BooleanSupplier goesOn) {
    this.address = address;
    this.goesOn = goesOn;
  }

  /**
   * Starts the clients, each on a thread of its own.
   *
   * @param goesOn whether they go on
   */
  static void start(Address.Tcp address, long seed, BooleanSupplier goesOn) {
    SoakFlood flood = new SoakFlood(address, goesOn);
    for (int i = 0; i < CLIENTS; i++) {
      Random random = new Random(seed + i);
      boolean leaves = i < LEAVING_CLIENTS;
      startThread(() -> flood.run(random, leaves));
    }
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "soak-flood");
    thread.setDaemon(true);
    thread.start();
  }

  private void run(Random random, boolean leaves) {
    while (goesOn.getAsBoolean()) {
      try (Socket socket = new Socket(address.host(), address.port())) {
        if (!leaves) {
          startThread(() -> discardResponses(socket));
        }
        String message = MESSAGES.get(random.nextInt(MESSAGES.size()));
        byte[] bytes = message.repeat(MESSAGES_PER_WRITE).getBytes(StandardCharsets.US_ASCII);
        int writes = leaves ? random.nextInt(MAX_WRITES_BEFORE_LEAVING) : Integer.MAX_VALUE;
        for (int i = 0; i < writes && goesOn.getAsBoolean(); i++) {
          socket.getOutputStream().write(bytes);
        }
      } catch (IOException e) {
        pause();
      }
    }
  }

  private static void discardResponses(Socket socket) {
    byte[] buffer = new byte[READ_BUFFER_BYTES];
    try {
      InputStream in = socket.getInputStream();
      while (in.read(buffer) >= 0) {
        // Nothing is done with the responses.
      }
      socket.close();
    } catch (IOException e) {
      // The connection has ended.
    }
  }

  private static void pause() {
    try {
      Thread.sleep(RECONNECT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
