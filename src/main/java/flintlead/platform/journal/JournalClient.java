package flintlead.platform.journal;

import flintlead.scheduling.lease.HostLeases;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.jsonrpc.LineDecoder;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.loop.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import org.slf4j.Logger;

/**
 * Watches the journal service: requests the events after the last applied one. Reconnects after a
 * backoff if the connection breaks or is silent, or if the service sends malformed data or omits an
 * event. Tells the host leases up to what time the host list is known to be complete. Used on the
 * event loop only.
 */
public final class JournalClient {

  private static final int MAX_LINE = 1 << 20;
  private static final Span CONNECT_TIMEOUT = Span.ofMillis(500);

  /** The service writes a line each second; a longer silence than this is a failure. */
  private static final Span SILENCE_TIMEOUT = Span.ofMillis(1_600);

  /**
   * Upper limit of the first backoff; doubled with each consecutive failure. The platform allows 2
   * s until a new event is applied.
   */
  private static final Span FIRST_BACKOFF = Span.ofMillis(50);

  private static final Span MAX_BACKOFF = Span.ofMillis(800);
  private static final int MAX_DOUBLINGS = 8;

  private final EventExecutor loop;
  private final Transport transport;
  private final HostEventProcessor events;
  private final HostLeases leases;
  private final JsonReader json;
  private final Random random;
  private final Runnable onFailure;
  private final WatchFailures failures;
  private Address address;
  private Watch current;
  private boolean stopped;

  /**
   * Creates a client that is not connected.
   *
   * @param events applies the events that the service sends
   * @param leases leases of the hosts, which depend on how current the host list is
   * @param random adds jitter to the backoff
   * @param onFailure run after each failure of the service, before the next connection
   * @param log receives {@code journal_watch_failed} and {@code journal_watch_restored}
   */
  public JournalClient(
      Address address,
      EventExecutor loop,
      Transport transport,
      HostEventProcessor events,
      HostLeases leases,
      JsonReader json,
      Random random,
      Runnable onFailure,
      Logger log) {
    this.address = address;
    this.loop = loop;
    this.transport = transport;
    this.events = events;
    this.leases = leases;
    this.json = json;
    this.random = random;
    this.onFailure = onFailure;
    this.failures = new WatchFailures(log);
  }

  /** Connects to the service. */
  public void start() {
    watch();
  }

  /** Connects to another address of the service and continues after the last applied event. */
  public void changeAddress(Address to) {
    if (!stopped && !to.equals(address)) {
      address = to;
      failures.reset();
      if (current != null) {
        current.closeQuietly();
      }
      watch();
    }
  }

  /** Disconnects from the service permanently. */
  public void stop() {
    stopped = true;
    if (current != null) {
      current.closeQuietly();
    }
  }

  private void watch() {
    current = new Watch();
    current.stream = transport.connect(address, current);
    current.restartTimeout(CONNECT_TIMEOUT);
  }

  private void retryAfterFailure(Watch watch, String reason) {
    int doublings = Math.min(failures.count(), MAX_DOUBLINGS);
    Span limit = Span.shorter(MAX_BACKOFF, FIRST_BACKOFF.times(1L << doublings));
    if (stopped) {
      return;
    }
    failures.failed(address, reason, events.lastPosition(), loop.now());
    onFailure.run();
    loop.scheduleAfter(
        limit.times(0.5 + random.nextDouble() / 2),
        () -> {
          if (current == watch && !stopped) {
            watch();
          }
        });
  }

  /** One connection to the service. */
  private final class Watch implements StreamListener, LineDecoder.LineHandler {
    private final LineDecoder lines = new LineDecoder(MAX_LINE, this);
    private Stream stream;
    private Runnable cancelTimeout = () -> {};
    private boolean closed;
    private HeartbeatAge heartbeats;

    void restartTimeout(Span timeout) {
      cancelTimeout.run();
      cancelTimeout =
          loop.scheduleAfter(
              timeout,
              () ->
                  fail(
                      "journal service did not accept the connection or sent no line before the timeout"));
    }

    @Override
    public void opened() {
      if (!closed) {
        heartbeats = new HeartbeatAge(loop.now());
        String command = "tail " + events.lastPosition() + "\n";
        stream.write(Unpooled.copiedBuffer(command, StandardCharsets.US_ASCII));
        restartTimeout(SILENCE_TIMEOUT);
      }
    }

    @Override
    public void received(ByteBuf bytes) {
      if (!closed) {
        lines.feed(bytes, stream.alloc());
      }
    }

    @Override
    public void line(ByteBuf line) {
      if (closed) {
        return;
      }
      try {
        if (!apply(json.read(ByteBufUtil.getBytes(line)))) {
          fail("events after position " + events.lastPosition() + " were not received");
          return;
        }
        failures.succeeded(loop.now());
        restartTimeout(SILENCE_TIMEOUT);
      } catch (IllegalArgumentException e) {
        fail(e.getMessage());
      }
    }

    /** Applies an event or a heartbeat; returns false if events before it are missing. */
    private boolean apply(Object message) {
      if (message instanceof Number position) {
        return heartbeat(position.longValue());
      }
      if (message instanceof Map<?, ?> members
          && members.get("pos") instanceof Number position
          && !members.containsKey("hosts")) {
        return heartbeat(position.longValue());
      }
      return events.apply(message);
    }

    /**
     * Handles a heartbeat, which holds the position of the service's last event. The host list is
     * known to be complete only if this event is also the last applied one: a service that lags
     * behind does not know all events that another instance of the service has sent.
     */
    private boolean heartbeat(long position) {
      Moment writtenAt = heartbeats.earliestWriteTime(stream.earliestArrival());
      if (position == events.lastPosition()) {
        leases.listConfirmed(writtenAt);
      }
      return position <= events.lastPosition();
    }

    @Override
    public void lineTooLong(int maxBytes) {
      fail("journal line exceeds " + maxBytes + " bytes");
    }

    @Override
    public void closed(String error) {
      if (!closed) {
        leases.discoveryDisconnected(heartbeats == null ? loop.now() : stream.quietAt());
      }
      fail(error);
    }

    /** Closes the connection without logging or scheduling anything. */
    void closeQuietly() {
      if (!closed) {
        closed = true;
        cancelTimeout.run();
        lines.close();
        stream.abort();
      }
    }

    private void fail(String reason) {
      if (!closed) {
        closeQuietly();
        retryAfterFailure(this, reason);
      }
    }
  }
}
