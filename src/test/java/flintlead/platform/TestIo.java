package flintlead.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Random;

/** Blocking I/O for the fake hosts, journals and clients of the tests. */
final class TestIo {

  private static final int MIN_PORT = 15_000;
  private static final int FIRST_OUTGOING_PORT = 32_768;
  private static final int MAX_ATTEMPTS = 100;
  private static final long MAX_JOIN_MILLIS = 5_000;

  private TestIo() {}

  /** A task that performs blocking I/O. */
  interface Task {
    void run() throws IOException;
  }

  /**
   * Runs the task on a separate thread. An I/O error ends it silently, because the peer has closed
   * the connection or the test has ended.
   *
   * @return the thread
   */
  static Thread inBackground(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The peer has closed the connection, or the test has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /**
   * Closes the socket and waits until the thread that accepts from it has ended. While a call of
   * accept is being interrupted, the system still counts the port as in use.
   */
  static void close(ServerSocket server, Thread acceptor) throws IOException {
    server.close();
    try {
      acceptor.join(MAX_JOIN_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Listens on the port, or on any free one if it is 0. A free port is taken from below those that
   * the system gives to outgoing connections: a test may close it, and listen on it again.
   */
  static ServerSocket listen(int port, int backlog) throws IOException {
    InetAddress loopback = InetAddress.getByName("127.0.0.1");
    if (port != 0) {
      return new ServerSocket(port, backlog, loopback);
    }
    Random random = new Random();
    for (int attempt = 1; ; attempt++) {
      int candidate = MIN_PORT + random.nextInt(FIRST_OUTGOING_PORT - MIN_PORT);
      try {
        return new ServerSocket(candidate, backlog, loopback);
      } catch (BindException e) {
        if (attempt == MAX_ATTEMPTS) {
          throw e;
        }
      }
    }
  }

  /** Reads the next line, without its line break; returns null at the end of the input. */
  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        return null;
      }
      line.append((char) c);
    }
    boolean endsWithReturn = line.length() > 0 && line.charAt(line.length() - 1) == '\r';
    return endsWithReturn ? line.substring(0, line.length() - 1) : line.toString();
  }
}
