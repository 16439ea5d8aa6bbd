package flintlead.testing.soak;

import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.RepeatingTask;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.loop.Transport;
import flintlead.transport.netty.NettyEventLoop;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The journal service of a soak. Used on its event loop only, unless said. */
final class SoakJournal {

  private static final Span LAST_NUMBER_INTERVAL = Span.ofMillis(1_000);

  private final NettyEventLoop loop;
  private final List<String> events = new ArrayList<>();
  private final Set<Watch> watches = new LinkedHashSet<>();
  private final Transport.ListeningSocket listening;
  private long goneUntilNanos;
  private long silentUntilNanos;

  /** Listens; not to be called on the event loop. */
  SoakJournal(NettyEventLoop loop, String firstEvent) throws IOException {
    this.loop = loop;
    this.events.add(firstEvent);
    this.listening =
        loop.listen(
            new Address.Tcp("127.0.0.1", 0),
            stream -> {
              Watch watch = new Watch(stream);
              if (isGone()) {
                stream.close();
              } else {
                watches.add(watch);
              }
              return watch;
            });
    loop.execute(() -> RepeatingTask.start(loop, LAST_NUMBER_INTERVAL, this::sendLastNumber));
  }

  /** Where it listens; from any thread. */
  String address() {
    Address.Tcp at = (Address.Tcp) listening.address();
    return at.host() + ":" + at.port();
  }

  private boolean isGone() {
    return System.nanoTime() < goneUntilNanos;
  }

  private boolean isSilent() {
    return System.nanoTime() < silentUntilNanos;
  }

  /** Adds a change of endpoints; from any thread. */
  void add(List<String> endpoints) {
    loop.execute(
        () -> {
          events.add(SoakConfiguration.event(events.size() + 1, false, endpoints));
          watches.forEach(Watch::sendEvents);
        });
  }

  /** Breaks off and accepts nobody for that long; from any thread. */
  void beGone(long millis) {
    loop.execute(
        () -> {
          goneUntilNanos = Math.max(goneUntilNanos, System.nanoTime() + millis * 1_000_000);
          List.copyOf(watches).forEach(watch -> watch.stream.abort());
        });
  }

  /** Says nothing for that long; from any thread. */
  void beSilent(long millis) {
    loop.execute(
        () -> {
          silentUntilNanos = Math.max(silentUntilNanos, System.nanoTime() + millis * 1_000_000);
          loop.scheduleAfter(Span.ofMillis(millis + 1), () -> watches.forEach(Watch::sendEvents));
        });
  }

  private void sendLastNumber() {
    if (!isSilent()) {
      watches.forEach(watch -> watch.write("{\"pos\":" + events.size() + "}\n"));
    }
  }

  /** Ends it; from any thread. */
  void close() {
    loop.execute(
        () -> {
          listening.close();
          List.copyOf(watches).forEach(watch -> watch.stream.abort());
        });
  }

  /** One gateway that watches. */
  private final class Watch implements StreamListener {
    private final Stream stream;
    private final StringBuilder input = new StringBuilder();
    private int sent = -1;

    Watch(Stream stream) {
      this.stream = stream;
    }

    @Override
    public void received(ByteBuf bytes) {
      input.append(bytes.toString(StandardCharsets.US_ASCII));
      if (sent < 0 && input.indexOf("\n") > 0) {
        sent = Integer.parseInt(input.substring("tail ".length(), input.indexOf("\n")).trim());
        sendEvents();
      }
    }

    void sendEvents() {
      while (sent >= 0 && sent < events.size() && !isSilent()) {
        write(events.get(sent) + "\n");
        sent++;
      }
    }

    void write(String text) {
      stream.write(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Override
    public void closed(String why) {
      watches.remove(this);
    }
  }
}
