import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A host: reads commands as the protocol has them and hands each request to its behaviour. */
final class Host {

  /** A {@code fire} command that has arrived whole. */
  record Fire(Connection on, String id, Map<String, String> fields, byte[] body) {

    void answer(String status, byte[] body) {
      on.write(id + " " + status + " meter=waiting:0 ", body);
    }
  }

  /** What the host does with a request. */
  interface Behaviour {
    void fire(Host host, Fire fire);
  }

  /** One connection of a gateway. */
  final class Connection {
    final Socket socket;

    Connection(Socket socket) {
      this.socket = socket;
    }

    synchronized void write(String line, byte[] body) {
      try {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write((line + body.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
        whole.write(body);
        whole.write('\r');
        whole.write('\n');
        socket.getOutputStream().write(whole.toByteArray());
      } catch (IOException e) {
        // The gateway has closed the connection.
      }
    }

    /** Resets the connection. */
    void reset() {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // It was closed before.
      }
    }

    private void serve() {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (String line = line(in); line != null; line = line(in)) {
          command(line.split(" "), in);
        }
      } catch (IOException e) {
        // The gateway has closed the connection.
      }
    }

    private void command(String[] words, InputStream in) throws IOException {
      switch (words[0]) {
        case "fire" -> {
          byte[] body = in.readNBytes(Integer.parseInt(words[3]));
          in.readNBytes(2);
          behaviour.fire(Host.this, new Fire(this, words[1], fields(words[2]), body));
        }
        case "there", "busy" -> write(words[1] + " alive meter=waiting:0 ", new byte[0]);
        case "provision" -> write(words[1] + " 200 units=1 ", new byte[0]);
        case "never_mind" -> bench.note(name + " was told to give up " + words[1]);
        default -> {}
      }
    }
  }

  final String name;
  private final Bench bench;
  private final Behaviour behaviour;
  private final ServerSocket listening;
  private final List<Socket> fillers = new ArrayList<>();
  private boolean accepting = true;

  /** Whether the thread that accepts waits until it may. */
  private boolean paused;

  /**
   * A host that listens at a free port of this address.
   *
   * @param backlog how many connections the kernel holds while the host does not accept
   */
  Host(Bench bench, String name, String ip, int backlog, Behaviour behaviour) throws IOException {
    this.bench = bench;
    this.name = name;
    this.behaviour = behaviour;
    this.listening = new ServerSocket();
    listening.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), backlog);
    Bench.thread(this::accept);
  }

  String address() {
    return listening.getInetAddress().getHostAddress() + ":" + listening.getLocalPort();
  }

  private void accept() {
    while (true) {
      try {
        awaitAccepting();
        Socket socket = listening.accept();
        socket.setTcpNoDelay(true);
        Bench.thread(new Connection(socket)::serve);
      } catch (IOException e) {
        return;
      }
    }
  }

  private synchronized void awaitAccepting() {
    while (!accepting) {
      paused = true;
      notifyAll();
      try {
        wait();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
    paused = false;
  }

  /** From now on new connections do not come up, until {@link #acceptAgain}. */
  synchronized void pauseAccepting() throws IOException, InterruptedException {
    accepting = false;
    // The thread waits for a connection, and takes one more before it pauses.
    while (!paused) {
      fill(1_000);
      wait(50);
    }
    // Then the kernel's queue is filled, so that it drops the first packet of a connection.
    while (fill(50)) {
      Thread.sleep(1);
    }
  }

  private boolean fill(int millis) {
    Socket filler = new Socket();
    fillers.add(filler);
    try {
      filler.connect(
          new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort()), millis);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  synchronized void acceptAgain() {
    accepting = true;
    notifyAll();
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
}
