import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A fleet of hosts, each at an address of its own. They answer at once: requests for the functions
 * they know are served, and those for others are answered with an error.
 */
final class ManyHosts {

  /** How the functions begin that the hosts know. */
  static final String KNOWN = "7f3a9c21";

  private static final byte[] BODY = "done".getBytes(StandardCharsets.US_ASCII);

  /** Requests served by all hosts. */
  final AtomicLong known = new AtomicLong();

  /** Requests for functions that no host knows. */
  final AtomicLong unknown = new AtomicLong();

  private final Selector selector = Selector.open();
  private final List<String> endpoints = new ArrayList<>();
  private final int port;

  private static final class Input {
    byte[] bytes = new byte[0];
  }

  ManyHosts(int count) throws IOException {
    port = Bench.freePort();
    for (int i = 0; i < count; i++) {
      String ip = "127.20." + (i / 200) + "." + (1 + i % 200);
      ServerSocketChannel listening = ServerSocketChannel.open();
      listening.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      listening.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 50);
      listening.configureBlocking(false);
      listening.register(selector, SelectionKey.OP_ACCEPT);
      String name = String.format("s-%08x", 0x0a000000 + i);
      endpoints.add(Journal.endpoint(name, ip + ":" + port, i / 8, "active", 0));
    }
    Thread thread = new Thread(this::run);
    thread.setDaemon(true);
    thread.start();
  }

  List<String> endpoints() {
    return endpoints;
  }

  private void run() {
    ByteBuffer buffer = ByteBuffer.allocate(1 << 16);
    while (true) {
      try {
        selector.select();
        for (SelectionKey key : selector.selectedKeys()) {
          if (key.isAcceptable()) {
            SocketChannel accepted = ((ServerSocketChannel) key.channel()).accept();
            if (accepted != null) {
              accepted.configureBlocking(false);
              accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
              accepted.register(selector, SelectionKey.OP_READ, new Input());
            }
          } else {
            read((SocketChannel) key.channel(), (Input) key.attachment(), buffer);
          }
        }
        selector.selectedKeys().clear();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void read(SocketChannel channel, Input input, ByteBuffer buffer) throws IOException {
    try {
      buffer.clear();
      if (channel.read(buffer) < 0) {
        channel.close();
        return;
      }
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(input.bytes);
      all.write(buffer.array(), 0, buffer.position());
      input.bytes = all.toByteArray();
      for (int used = command(channel, input.bytes); used > 0; ) {
        byte[] rest = new byte[input.bytes.length - used];
        System.arraycopy(input.bytes, used, rest, 0, rest.length);
        input.bytes = rest;
        used = command(channel, rest);
      }
    } catch (IOException e) {
      channel.close();
    }
  }

  /** Carries out the first command; returns its length, 0 where it is not whole. */
  private int command(SocketChannel channel, byte[] bytes) throws IOException {
    int end = 0;
    while (end < bytes.length && bytes[end] != '\n') {
      end++;
    }
    if (end == bytes.length) {
      return 0;
    }
    String[] words = new String(bytes, 0, end, StandardCharsets.US_ASCII).trim().split(" ");
    if (words[0].equals("fire")) {
      int whole = end + 1 + Integer.parseInt(words[3]) + 2;
      if (bytes.length < whole) {
        return 0;
      }
      if (words[2].contains("item=" + KNOWN)) {
        known.incrementAndGet();
        answer(channel, words[1] + " 200 meter=waiting:0 ", BODY);
      } else {
        unknown.incrementAndGet();
        answer(channel, words[1] + " 500 meter=waiting:0 ", new byte[0]);
      }
      return whole;
    }
    if (words[0].equals("there") || words[0].equals("busy")) {
      answer(channel, words[1] + " alive meter=waiting:0 ", new byte[0]);
    } else if (words[0].equals("provision")) {
      answer(channel, words[1] + " 200 units=1 ", new byte[0]);
    }
    return end + 1;
  }

  private static void answer(SocketChannel channel, String line, byte[] body) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.write((line + body.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
    out.write(body);
    out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
    channel.write(ByteBuffer.wrap(out.toByteArray()));
  }
}
