import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** JSON texts, a line each, on one stream: the framing of docs/protocol.md. */
final class Wire implements AutoCloseable {

  static final ObjectMapper JSON = new ObjectMapper();

  private final SocketChannel channel;
  private final ByteBuffer in = ByteBuffer.allocate(1 << 16).flip();
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  Wire(SocketChannel channel) {
    this.channel = channel;
  }

  static Wire connect(SocketAddress to) throws IOException {
    return new Wire(SocketChannel.open(to));
  }

  /** The next text; null at the end of the stream. */
  JsonNode read() throws IOException {
    while (true) {
      while (in.hasRemaining()) {
        byte next = in.get();
        if (next == '\n') {
          byte[] text = line.toByteArray();
          line.reset();
          if (text.length > 0) {
            return JSON.readTree(text);
          }
        } else {
          line.write(next);
        }
      }
      in.clear();
      int count = channel.read(in);
      in.flip();
      if (count < 0) {
        return null;
      }
    }
  }

  synchronized void write(JsonNode text) throws IOException {
    ByteBuffer out = ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.UTF_8));
    while (out.hasRemaining()) {
      channel.write(out);
    }
  }

  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      // It is of no use any more.
    }
  }
}
