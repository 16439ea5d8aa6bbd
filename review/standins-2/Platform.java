import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What the platform's own protocol needs: the journal service, hosts, clients, and a gateway of `run`. */
final class Platform {

  private Platform() {}

  /** The journal service: numbered events for those who tail it, and a heartbeat each second. */
  static final class Journal {
    private final List<String> events = new ArrayList<>();
    private final List<OutputStream> watchers = new ArrayList<>();
    private final ServerSocket listening;

    Journal(List<String> endpoints) throws IOException {
      listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
      events.add(event(1, true, endpoints));
      Host.daemon(
          () -> {
            while (true) {
              Socket socket = listening.accept();
              socket.setTcpNoDelay(true);
              Host.daemon(() -> serve(socket));
            }
          });
      Host.daemon(
          () -> {
            while (true) {
              Thread.sleep(1_000);
              synchronized (this) {
                toAll(Integer.toString(events.size()));
              }
            }
          });
    }

    String address() {
      return "127.0.0.1:" + listening.getLocalPort();
    }

    synchronized String known() {
      return "{\"pos\":" + events.size() + ",\"entries\":[" + String.join(",", events) + "]}";
    }

    /** Adds an event; from now on the gateways count as told of it. */
    synchronized void tell(String... endpoints) {
      String event = event(events.size() + 1, false, List.of(endpoints));
      events.add(event);
      toAll(event);
    }

    private static String event(int position, boolean snapshot, List<String> endpoints) {
      return "{\"pos\":" + position + ",\"hosts\":{\"index\":" + position + ",\"snapshot\":" + snapshot
          + ",\"endpoints\":[" + String.join(",", endpoints) + "]}}";
    }

    private void toAll(String line) {
      watchers.removeIf(
          watcher -> {
            try {
              watcher.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
              return false;
            } catch (IOException e) {
              return true;
            }
          });
    }

    private void serve(Socket socket) throws IOException {
      BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String[] words = String.valueOf(in.readLine()).split(" ");
      if (words.length == 2 && words[0].equals("tail")) {
        synchronized (this) {
          OutputStream out = socket.getOutputStream();
          for (String event : events.subList(Integer.parseInt(words[1]), events.size())) {
            out.write((event + "\n").getBytes(StandardCharsets.US_ASCII));
          }
          watchers.add(out);
        }
      }
    }
  }

  /** What a process does with a request after it has run. */
  interface Behaviour {
    void ran(LineHost host, Runnable answer) throws Exception;
  }

  /** One process of a host, with every function loaded; its cell drops repeats by their keys. */
  static final class LineHost {
    final String name;
    final int cell;
    private final Host.TokenMemory memory;
    private final Behaviour behaviour;
    private final ServerSocket listening;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    /** Listens at the port, 0 for any; the process before must have ended. */
    LineHost(String name, int cell, Host.TokenMemory memory, int port, Behaviour behaviour) throws IOException {
      this.name = name;
      this.cell = cell;
      this.memory = memory;
      this.behaviour = behaviour;
      listening = new ServerSocket();
      listening.setReuseAddress(true);
      listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 128);
      Host.daemon(
          () -> {
            while (true) {
              Socket socket = listening.accept();
              socket.setTcpNoDelay(true);
              connections.add(socket);
              Host.daemon(() -> serve(socket));
            }
          });
    }

    int port() {
      return listening.getLocalPort();
    }

    String endpoint(String status, long sinceMs) {
      return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port() + "\",\"zone\":\"east\",\"type\":\"std\",\"group\":" + cell
          + ",\"status\":\"" + status + "\",\"weight\":4,\"since_ms\":" + sinceMs + "}";
    }

    /** The process dies: nothing listens any more, and its connections are reset. */
    void die() throws IOException {
      listening.close();
      for (Socket each : connections) {
        reset(each);
      }
    }

    /** Resets its connections; it goes on. */
    void resetAll() {
      connections.forEach(LineHost::reset);
      connections.clear();
    }

    private static void reset(Socket socket) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // It has ended already.
      }
    }

    private void serve(Socket socket) throws Exception {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (String line = line(in); line != null; line = line(in)) {
        String[] words = line.split(" ");
        switch (words[0]) {
          case "fire" -> {
            byte[] body = in.readNBytes(Integer.parseInt(words[3]));
            in.readNBytes(2);
            fire(socket, words[1], fields(words[2]), body);
          }
          case "there", "busy" -> write(socket, words[1] + " alive meter=waiting:0 ", new byte[0]);
          case "provision" -> write(socket, words[1] + " 200 units=1 ", new byte[0]);
          default -> { }
        }
      }
    }

    private void fire(Socket socket, String id, Map<String, String> fields, byte[] body) {
      String key = fields.get("nonce");
      boolean repeat = key != null && !memory.isNew(key);
      Host.ARRIVALS.add(
          new Host.Arrival(
              Rig.nowMs(), name + " of cell " + cell, fields.get("item"), fields.get("cls"), key, repeat ? "repeat" : "ran"));
      Host.daemon(() -> behaviour.ran(this, () -> write(socket, id + " 200 meter=waiting:0 ", body)));
    }

    private static void write(Socket socket, String line, byte[] body) {
      try {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write((line + body.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
        whole.write(body);
        whole.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        synchronized (socket) {
          socket.getOutputStream().write(whole.toByteArray());
        }
      } catch (IOException e) {
        // The connection has ended.
      }
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      line.write(next);
    }
    return null;
  }

  private static Map<String, String> fields(String text) {
    Map<String, String> fields = new HashMap<>();
    for (String field : text.split(",")) {
      int equals = field.indexOf('=');
      if (equals > 0) {
        fields.put(field.substring(0, equals), field.substring(equals + 1));
      }
    }
    return fields;
  }

  /** Sends one invocation on a connection of its own and returns the status of the answer; 0 for none. */
  static int invoke(int port, String function, String type, String id, String key, int ttlMs) throws IOException {
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
      socket.setSoTimeout(ttlMs + 2_000);
      String body = "pack";
      String request =
          "POST /call/" + function + "/fire HTTP/1.1\r\nHost: api.internal\r\nX-Class: " + type + "\r\nX-Txn: " + id
              + "\r\nX-Ttl-Ms: " + ttlMs + "\r\nX-Merchant: mill\r\n" + (key == null ? "" : "X-Txn-Key: " + key + "\r\n")
              + "X-More: memory_mb:400;lanes:2;load_ms:400\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      String first = line(new BufferedInputStream(socket.getInputStream()));
      return first == null ? 0 : Integer.parseInt(first.split(" ")[1]);
    }
  }

  /** The configuration of a gateway of a small deployment: the figures of guild-rules. */
  static String config(String name, int port, Journal journal) {
    return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\"8c1f30d27a5be964\",\n"
        + "\"limits\":{\"cores\":1.0,\"memory_mb\":160,\"sockets\":512},\n"
        + "\"journal\":\"" + journal.address() + "\",\n\"known\":" + journal.known() + ",\n"
        + "\"settings\":{\"dcs\":[\"east\"],\"kinds\":[\"std\"],\"zone\":0,\"index\":0,\"group_size\":1,\"tick\":2000,"
        + "\"discovery\":\"pushed\",\"weight_kind\":\"nominal\",\n"
        + "\"extra\":{\"when_absent\":\"load\",\"may_order\":true,\"tells_warm\":false,\"counts_alike\":false,"
        + "\"idle_life\":8000000,\"load_wait\":10000000,\"loads_within\":5000000,\"free_loads\":2,\"load_share\":0.3},\n"
        + "\"feedback\":{\"via\":\"inline\",\"names\":[\"waiting\"]},\n"
        + "\"limits\":{\"attempts_cap\":3,\"cancel\":true,\"probes\":true,\"peer_messages\":false,\"second_copies\":false,"
        + "\"conn_idle\":15000000,\"dial_timeout\":250000,\"max_streams\":100,\"max_open\":20000,\"retry_after\":true,"
        + "\"max_retry_after\":500000},\n"
        + "\"rules\":{\"answer_slack\":8000,\"drain_grace\":1000000,\"warm_after\":17000000,\"cold_from\":0.28,"
        + "\"fall_multiple\":2.5,\"overload_for\":3000000},\n"
        + "\"services\":[{\"name\":\"check\",\"aim\":750000,\"deadline\":3000000,\"worth\":3,\"late_worth\":0.2,"
        + "\"effect\":\"repeatable\",\"group\":\"all\",\"window\":5000000,\"streaming\":false},\n"
        + "{\"name\":\"lodge\",\"aim\":1200000,\"deadline\":3000000,\"worth\":9,\"late_worth\":0.1,"
        + "\"effect\":\"by_key\",\"group\":\"cell\",\"window\":2000000,\"streaming\":false}],\n"
        + "\"tenants\":[{\"name\":\"mill\",\"fraction\":1.0,\"quota_per_s\":1000}]}}\n";
  }

  /** Starts a gateway with the command `run` of the deploy file, and waits until it answers GET /ping. */
  static Process gateway(String name, int port, Journal journal) throws Exception {
    Path file = Rig.write(name + ".json", config(name, port, journal));
    Path own = Files.createDirectory(Rig.folder.resolve(name + "-tmp"));
    String run =
        Files.readAllLines(Rig.root.resolve("deploy/balancer.toml")).stream()
            .filter(each -> each.startsWith("run = "))
            .map(each -> each.split("\"")[1])
            .findFirst()
            .orElseThrow();
    Process process =
        Rig.startCommand(
            name,
            List.of("/bin/sh", "-c", run),
            Map.of(
                "ROUTER_NAME", name, "ROUTER_LISTEN", "127.0.0.1:" + port, "ROUTER_CONFIG", file.toString(),
                "TMPDIR", own.toString()));
    Rig.await(name + " is ready", 30_000, () -> isReady(port) || !process.isAlive());
    return process;
  }

  private static boolean isReady(int port) {
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
      socket.getOutputStream().write("GET /ping HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      String first = line(socket.getInputStream());
      return first != null && first.contains(" 200 ");
    } catch (IOException e) {
      return false;
    }
  }
}
