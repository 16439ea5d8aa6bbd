package flintlead.platform;

import java.io.IOException;
import java.io.InputStream;

/** Blocking I/O for the fake hosts, journals and clients of the tests. */
final class TestIo {

  private TestIo() {}

  /** A task that performs blocking I/O. */
  interface Task {
    void run() throws IOException;
  }

  /**
   * Runs the task on a separate thread. An I/O error ends it silently, because the peer has closed
   * the connection or the test has ended.
   */
  static void inBackground(Task task) {
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
