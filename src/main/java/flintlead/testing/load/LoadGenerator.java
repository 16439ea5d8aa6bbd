package flintlead.testing.load;

import flintlead.client.ClientResponse;
import flintlead.client.GatewayClient;
import flintlead.testing.arrivals.ArrivalProcess;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;

/**
 * Generates load over a few connections. Open loop: each invocation is sent at its scheduled time
 * and measured from that time, whether or not earlier ones have been answered, so that a pause of
 * the server is seen by all whom it would have met (no coordinated omission). Closed loop: a fixed
 * number is outstanding, to find the throughput. Its methods block and are called from one thread,
 * which is not the event loop; one measurement at a time.
 */
public final class LoadGenerator {

  /**
   * A measurement.
   *
   * @param other responses that are neither successful nor throttled
   * @param perSecond throughput of successful ones
   * @param micros latency of successful ones, in microseconds
   * @param seconds the same by the second in which invocations were due
   */
  public record Measurement(
      long sent,
      long succeeded,
      long throttled,
      long other,
      double perSecond,
      Histogram micros,
      List<SecondBucket> seconds) {}

  /** One second of a measurement, by when invocations were due. */
  public static final class SecondBucket {
    /** Invocations sent. */
    public long sent;

    /** Responses that were throttled. */
    public long throttled;

    /** Responses that are neither successful nor throttled. */
    public long other;

    /** Latency of successful ones, in microseconds. */
    public final Histogram micros = new Histogram(MAX_LATENCY_MICROS, SECOND_DIGITS);
  }

  private static final long MAX_LATENCY_MICROS = 600_000_000L;
  private static final int DIGITS = 3;
  private static final int SECOND_DIGITS = 2;

  /** Longer measurements keep one histogram for the rest. */
  private static final int MAX_SECONDS = 3_600;

  private static final long MICROS_PER_SECOND = 1_000_000;

  /** How often the open loop looks for invocations that are due. */
  private static final Span SEND_INTERVAL = new Span(250);

  private final NettyEventLoop loop;
  private final List<GatewayClient> clients = new ArrayList<>();
  private final byte[] payload;
  private final int functions;
  private final String triggerType;
  private final Span timeout;
  private final Random random;

  private long sent;
  private long succeeded;
  private long throttled;
  private long other;
  private Histogram micros;
  private List<SecondBucket> seconds;
  private Moment startedAt;

  /**
   * Connects.
   *
   * @param to addresses, which the connections are spread over
   * @param size of each payload, in bytes
   * @param seed of the payload, the functions and Poisson arrivals
   */
  public LoadGenerator(
      NettyEventLoop loop,
      List<Address> to,
      int connections,
      int size,
      int functions,
      String triggerType,
      Span timeout,
      long seed) {
    this.loop = loop;
    this.functions = functions;
    this.triggerType = triggerType;
    this.timeout = timeout;
    this.random = new Random(seed);
    this.payload = randomText(size, random);
    CompletableFuture<Void> connecting = new CompletableFuture<>();
    loop.execute(
        () -> {
          for (int i = 0; i < connections; i++) {
            clients.add(GatewayClient.connect(loop, to.get(i % to.size()), () -> {}));
          }
          connecting.complete(null);
        });
    connecting.join();
  }

  /** A JSON string of so many bytes, quotes included. */
  private static byte[] randomText(int size, Random random) {
    StringBuilder text = new StringBuilder(size).append('"');
    while (text.length() < size - 1) {
      text.append((char) ('a' + random.nextInt(26)));
    }
    return text.append('"').toString().getBytes(StandardCharsets.US_ASCII);
  }

  // ---- one measurement ----

  private void reset() {
    sent = 0;
    succeeded = 0;
    throttled = 0;
    other = 0;
    micros = new Histogram(MAX_LATENCY_MICROS, DIGITS);
    seconds = new ArrayList<>();
    startedAt = loop.now();
  }

  private SecondBucket second(Moment due) {
    int index =
        (int) Math.max(0, Math.min(MAX_SECONDS, due.since(startedAt).micros() / MICROS_PER_SECOND));
    while (seconds.size() <= index) {
      seconds.add(new SecondBucket());
    }
    return seconds.get(index);
  }

  private Measurement measured(Span duration) {
    double perSecond = succeeded * (double) MICROS_PER_SECOND / duration.micros();
    return new Measurement(
        sent, succeeded, throttled, other, perSecond, micros, List.copyOf(seconds));
  }

  /**
   * Sends one invocation.
   *
   * @param due from when it is measured
   * @param function its number; negative for a random one
   * @param done run after the response
   */
  private void send(Moment due, int function, Runnable done) {
    GatewayClient client = clients.get((int) (sent++ % clients.size()));
    SecondBucket second = second(due);
    second.sent++;
    String name = "fn-" + (function < 0 ? random.nextInt(functions) : function);
    client.invoke(
        name,
        triggerType,
        null,
        timeout,
        null,
        payload,
        false,
        reply -> {
          count(reply.status(), due, second);
          done.run();
        });
  }

  private void count(ClientResponse.Status kind, Moment due, SecondBucket second) {
    switch (kind) {
      case SUCCEEDED -> {
        succeeded++;
        long took =
            Math.max(0, Math.min(MAX_LATENCY_MICROS, NettyEventLoop.clock().since(due).micros()));
        micros.recordValue(took);
        second.micros.recordValue(took);
      }
      case THROTTLED -> {
        throttled++;
        second.throttled++;
      }
      default -> {
        other++;
        second.other++;
      }
    }
  }

  // ---- closed loop ----

  /** Keeps a number of invocations outstanding for a time, and waits for the responses. */
  public Measurement runClosedLoop(int concurrency, Span duration) {
    CompletableFuture<Measurement> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          reset();
          new ClosedLoop(loop.now(), duration, done).start(concurrency);
        });
    return done.join();
  }

  private final class ClosedLoop {
    private final Moment begin;
    private final Moment end;
    private final CompletableFuture<Measurement> done;
    private int outstanding;

    ClosedLoop(Moment begin, Span duration, CompletableFuture<Measurement> done) {
      this.begin = begin;
      this.end = begin.plus(duration);
      this.done = done;
    }

    void start(int concurrency) {
      for (int i = 0; i < concurrency; i++) {
        sendNext();
      }
    }

    private void sendNext() {
      outstanding++;
      send(loop.now(), -1, this::answered);
    }

    private void answered() {
      outstanding--;
      if (loop.now().isBefore(end)) {
        sendNext();
      } else if (outstanding == 0) {
        done.complete(measured(loop.now().since(begin)));
      }
    }
  }

  // ---- open loop ----

  /** Sends at a rate, with Poisson arrivals, for a time, and waits for the responses. */
  public Measurement runOpenLoop(double perSecond, Span duration) {
    return runOpenLoop(ArrivalProcess.poisson(perSecond, random), duration);
  }

  /** Sends as the arrival process says, for a time at most, and waits for the responses. */
  public Measurement runOpenLoop(ArrivalProcess arrivals, Span duration) {
    CompletableFuture<Measurement> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          reset();
          new OpenLoop(arrivals, loop.now(), duration, done).sendDue();
        });
    return done.join();
  }

  private final class OpenLoop {
    private final ArrivalProcess arrivals;
    private final Moment begin;
    private final Moment end;
    private final CompletableFuture<Measurement> done;

    /** Not sent yet; null after the last. */
    private ArrivalProcess.Arrival next;

    private long outstanding;

    OpenLoop(
        ArrivalProcess arrivals, Moment begin, Span duration, CompletableFuture<Measurement> done) {
      this.arrivals = arrivals;
      this.begin = begin;
      this.end = begin.plus(duration);
      this.done = done;
      this.next = arrivals.next(1);
    }

    private Moment due() {
      return begin.plus(next.at());
    }

    private boolean hasNext() {
      return next != null && due().isBefore(end);
    }

    void sendDue() {
      while (hasNext() && !due().isAfter(loop.now())) {
        outstanding++;
        send(due(), next.function(), () -> outstanding--);
        next = arrivals.next(1);
      }
      if (hasNext() || outstanding > 0) {
        loop.scheduleAfter(SEND_INTERVAL, this::sendDue);
      } else {
        Moment now = loop.now();
        done.complete(measured(now.isBefore(end) ? now.since(begin) : end.since(begin)));
      }
    }
  }

  /** Closes the connections; does not wait for it. */
  public void close() {
    loop.execute(() -> clients.forEach(GatewayClient::close));
  }
}
