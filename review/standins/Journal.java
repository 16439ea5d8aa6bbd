import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The journal service: numbered events for those who tail it, and a heartbeat each second. */
final class Journal {

  private final List<String> events = new ArrayList<>();
  private final List<OutputStream> watchers = new ArrayList<>();
  private final ServerSocket listening;

  /** A journal whose first event holds these endpoints. */
  Journal(List<String> endpoints) throws IOException {
    listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    events.add(event(1, true, endpoints));
    Bench.thread(this::accept);
    Bench.thread(this::heartbeat);
  }

  String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  /** The member {@code known} of a gateway's configuration. */
  synchronized String known() {
    return "{\"pos\":" + events.size() + ",\"entries\":[" + String.join(",", events) + "]}";
  }

  static String endpoint(String name, String address, int cell, String status, long sinceMillis) {
    return "{\"name\":\"" + name + "\",\"address\":\"" + address
        + "\",\"zone\":\"east\",\"type\":\"std\",\"group\":" + cell + ",\"status\":\"" + status
        + "\",\"weight\":4,\"since_ms\":" + sinceMillis + "}";
  }

  private static String event(int position, boolean snapshot, List<String> endpoints) {
    return "{\"pos\":" + position + ",\"hosts\":{\"index\":" + position + ",\"snapshot\":" + snapshot
        + ",\"endpoints\":[" + String.join(",", endpoints) + "]}}";
  }

  /** Adds an event; from now on the gateways count as told of it. */
  synchronized void tell(List<String> endpoints) {
    String event = event(events.size() + 1, false, endpoints);
    events.add(event);
    toAll(event);
  }

  private synchronized void toAll(String line) {
    watchers.removeIf(watcher -> !write(watcher, line));
  }

  private static boolean write(OutputStream to, String line) {
    try {
      to.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private void heartbeat() {
    while (true) {
      Bench.sleep(1000);
      synchronized (this) {
        toAll(Integer.toString(events.size()));
      }
    }
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listening.accept();
        socket.setTcpNoDelay(true);
        Bench.thread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String[] words = String.valueOf(in.readLine()).split(" ");
      if (words.length == 2 && words[0].equals("tail")) {
        synchronized (this) {
          OutputStream out = socket.getOutputStream();
          for (String event : events.subList(Integer.parseInt(words[1]), events.size())) {
            write(out, event);
          }
          watchers.add(out);
        }
      }
    } catch (IOException e) {
      // The watcher has gone.
    }
  }
}
