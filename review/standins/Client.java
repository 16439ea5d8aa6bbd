import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client's connection to a gateway: one request at a time, kept alive. */
final class Client implements AutoCloseable {

  /** What came back; status 0 where the connection ended with no whole answer. */
  record Answer(int status, byte[] body) {}

  private final Socket socket = new Socket();
  private final InputStream in;

  Client(int port) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
    in = socket.getInputStream();
  }

  static boolean ping(int port) {
    try (Client client = new Client(port)) {
      client.socket.setSoTimeout(1_000);
      client.write("GET /ping HTTP/1.1\r\nHost: api.internal\r\n\r\n", new byte[0]);
      return client.read().status == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a request and waits for its answer, for {@code ttl} and {@code grace} milliseconds. */
  Answer call(String function, String type, String id, String key, int ttl, int grace, byte[] body)
      throws IOException {
    send(function, type, id, key, ttl, body);
    return await(ttl + grace);
  }

  void send(String function, String type, String id, String key, int ttl, byte[] body)
      throws IOException {
    write(
        "POST /call/" + function + "/fire HTTP/1.1\r\nHost: api.internal\r\nX-Class: " + type
            + "\r\nX-Txn: " + id + "\r\nX-Ttl-Ms: " + ttl + "\r\nX-Merchant: mill\r\n"
            + (key == null ? "" : "X-Txn-Key: " + key + "\r\n")
            + "X-More: memory_mb:300;lanes:2;load_ms:400\r\nContent-Length: " + body.length
            + "\r\n\r\n",
        body);
  }

  Answer await(int millis) throws IOException {
    socket.setSoTimeout(millis);
    return read();
  }

  private void write(String head, byte[] body) throws IOException {
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    whole.write(head.getBytes(StandardCharsets.US_ASCII));
    whole.write(body);
    socket.getOutputStream().write(whole.toByteArray());
  }

  private Answer read() throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        return new Answer(0, new byte[0]);
      }
      head.write(next);
    }
    int length = 0;
    String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
    for (String line : lines) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
    }
    byte[] body = in.readNBytes(length);
    return new Answer(body.length < length ? 0 : Integer.parseInt(lines[0].split(" ")[1]), body);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
