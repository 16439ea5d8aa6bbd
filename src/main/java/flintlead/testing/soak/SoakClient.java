package flintlead.testing.soak;

import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.netty.NettyEventLoop;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * One client of a gateway: a request at a time, on one connection as long as that lasts. It may
 * leave before its answer, send in pieces, grant very little time, or open a new connection for a
 * request. Used on the clients' event loop only.
 */
final class SoakClient {

  private static final double NEW_CONNECTION_CHANCE = 0.15;
  private static final double LEAVE_CHANCE = 0.3;
  private static final double PATIENT_CHANCE = 0.5;
  private static final double PIECES_CHANCE = 0.1;
  private static final double LITTLE_TIME_CHANCE = 0.1;
  private static final int PIECES_MILLIS = 25;
  private static final int THINK_MILLIS = 60;
  private static final int RETRY_MILLIS = 50;
  private static final int MAX_LITTLE_TIME_MILLIS = 40;
  private static final int MAX_BODY = 600;

  /** Who waits for a late answer waits this long after the request's time. */
  private static final int PATIENCE_MILLIS = 3_500;

  /** A request on a resting connection that ends within this time is sent once more. */
  private static final long CROSSING_NANOS = 50_000_000;

  /** What all clients of one gateway share. */
  record Site(
      int gateway,
      Address address,
      NettyEventLoop loop,
      SoakPlan plan,
      SoakRecords records,
      BooleanSupplier acceptsConnections,
      BooleanSupplier traffic) {}

  private final Site site;
  private final Random random;
  private Connection connection;

  SoakClient(Site site, long seed) {
    this.site = site;
    this.random = new Random(seed);
  }

  /** Begins to send. */
  void start() {
    later(random.nextInt(THINK_MILLIS), this::next);
  }

  private void later(long millis, Runnable task) {
    site.loop().scheduleAfter(Span.ofMillis(millis), task);
  }

  private void next() {
    if (!site.traffic().getAsBoolean()) {
      if (connection != null) {
        connection.stream.close();
      }
      return;
    }
    if (connection != null && random.nextDouble() < NEW_CONNECTION_CHANCE) {
      connection.leave();
    }
    if (connection == null && !site.acceptsConnections().getAsBoolean()) {
      later(RETRY_MILLIS, this::next);
      return;
    }
    send(drawRequest(connection == null));
  }

  private ClientRequest drawRequest(boolean onNewConnection) {
    TriggerKind trigger = TriggerKind.values()[random.nextInt(TriggerKind.values().length)];
    int timeout = site.plan().deadlines().get(trigger.ordinal());
    if (random.nextDouble() < LITTLE_TIME_CHANCE) {
      timeout = 1 + random.nextInt(MAX_LITTLE_TIME_MILLIS);
    }
    String id = String.format(Locale.ROOT, "%016x", random.nextLong());
    String body = id + "x".repeat(random.nextInt(MAX_BODY));
    return new ClientRequest(id, site.gateway(), trigger, timeout, body, onNewConnection);
  }

  private void send(ClientRequest request) {
    if (connection == null) {
      connection = new Connection();
      connection.stream = site.loop().connect(site.address(), connection);
    }
    connection.send(request);
  }

  private void think() {
    later(1 + random.nextInt(THINK_MILLIS), this::next);
  }

  private static String encode(ClientRequest request, long function) {
    String key =
        request.trigger == TriggerKind.LODGE ? "X-Txn-Key: key-" + request.id + "\r\n" : "";
    return "POST /call/"
        + String.format(Locale.ROOT, "%016x", function)
        + "/fire HTTP/1.1\r\nHost: api.internal\r\nX-Class: "
        + request.trigger.wireName()
        + "\r\nX-Txn: "
        + request.id
        + "\r\nX-Ttl-Ms: "
        + request.timeoutMillis
        + "\r\nX-Merchant: mill\r\nX-More: memory_mb:100;lanes:4;load_ms:50\r\n"
        + key
        + "Content-Length: "
        + request.body.length()
        + "\r\n\r\n"
        + request.body;
  }

  /** One connection and the request on it. */
  private final class Connection implements StreamListener {
    private static final int FUNCTIONS = 6;

    private Stream stream;
    private boolean open;
    private boolean over;

    /** Waits for the connection, or for its answer. */
    private ClientRequest current;

    private final StringBuilder input = new StringBuilder();
    private boolean used;

    void send(ClientRequest request) {
      current = request;
      if (open) {
        write();
      }
    }

    @Override
    public void opened() {
      open = true;
      if (current != null && !over) {
        write();
      }
    }

    private void write() {
      ClientRequest request = current;
      String text = encode(request, 0xaa + random.nextInt(FUNCTIONS));
      if (random.nextDouble() < PIECES_CHANCE) {
        int cut = 1 + random.nextInt(text.length() - 1);
        writeBytes(text.substring(0, cut));
        later(
            PIECES_MILLIS,
            () -> {
              if (current == request && !over) {
                writeLast(request, text.substring(cut));
              }
            });
      } else {
        writeLast(request, text);
      }
    }

    private void writeBytes(String text) {
      stream.write(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
      stream.flush();
    }

    private void writeLast(ClientRequest request, String text) {
      site.records().requests.add(request);
      request.sentAt = System.nanoTime();
      writeBytes(text);
      planLeaving(request);
    }

    private void planLeaving(ClientRequest request) {
      long wait;
      if (random.nextDouble() < LEAVE_CHANCE) {
        wait = random.nextInt(request.timeoutMillis + 1);
      } else if (random.nextDouble() < PATIENT_CHANCE) {
        wait = (long) request.timeoutMillis + PATIENCE_MILLIS;
      } else {
        wait = request.timeoutMillis;
      }
      later(
          wait,
          () -> {
            if (current == request && !over) {
              leave();
              think();
            }
          });
    }

    /** The client closes its connection, whatever is on it. */
    void leave() {
      over = true;
      connection = null;
      stream.close();
      if (current != null) {
        // After the close: nothing that the gateway does before it can be too late.
        current.leftAt = System.nanoTime();
        current = null;
      }
    }

    @Override
    public void received(ByteBuf bytes) {
      input.append(bytes.toString(StandardCharsets.ISO_8859_1));
      if (current == null && !over) {
        unexpected();
        return;
      }
      int headEnd = input.indexOf("\r\n\r\n");
      if (over || headEnd < 0) {
        return;
      }
      String head = input.substring(0, headEnd).toLowerCase(Locale.ROOT);
      int length = contentLength(head);
      int end = headEnd + 4 + length;
      if (input.length() < end) {
        return;
      }
      answered(head, input.substring(headEnd + 4, end));
      if (input.length() > end) {
        last.faults.add("bytes after the answer: " + input.substring(end));
      }
      input.setLength(0);
    }

    private ClientRequest last;

    private void answered(String head, String body) {
      ClientRequest request = current;
      request.answerBody = body;
      request.status = Integer.parseInt(head.split(" ")[1]);
      request.answeredAt = System.nanoTime();
      last = request;
      current = null;
      used = true;
      if (head.contains("connection: close")) {
        over = true;
        connection = null;
        stream.close();
      }
      think();
    }

    /** A resting connection may be ended with 408; anything else is an answer too many. */
    private void unexpected() {
      if (last != null && !input.toString().startsWith("HTTP/1.1 408")) {
        last.faults.add("bytes with no request open: " + input);
      }
      input.setLength(0);
    }

    private static int contentLength(String head) {
      int at = head.indexOf("content-length: ");
      if (at < 0) {
        return 0;
      }
      String value = head.substring(at + "content-length: ".length()).split("\r\n")[0];
      return Integer.parseInt(value.trim());
    }

    @Override
    public void closed(String why) {
      if (over) {
        return;
      }
      over = true;
      connection = null;
      ClientRequest request = current;
      current = null;
      if (request == null) {
        return;
      }
      if (request.sentAt == ClientRequest.NEVER) {
        later(RETRY_MILLIS, SoakClient.this::next);
        return;
      }
      request.closedAt = System.nanoTime();
      if (input.length() > 0) {
        request.faults.add("an answer that is not whole: " + input);
      }
      boolean crossing = used && request.closedAt - request.sentAt < CROSSING_NANOS;
      if (crossing && site.acceptsConnections().getAsBoolean()) {
        request.resent = true;
        send(
            new ClientRequest(
                String.format(Locale.ROOT, "%016x", random.nextLong()),
                request.gateway,
                request.trigger,
                request.timeoutMillis,
                request.body,
                true));
      } else {
        request.resent = crossing;
        think();
      }
    }
  }
}
