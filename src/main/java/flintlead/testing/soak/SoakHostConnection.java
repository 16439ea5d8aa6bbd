package flintlead.testing.soak;

import flintlead.time.Span;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** One gateway's connection to a {@link SoakHost}: parses commands, and answers or misbehaves. */
final class SoakHostConnection implements StreamListener {

  private static final int MIN_WORK_MILLIS = 5;
  private static final int WORK_MILLIS = 60;
  private static final int MAX_IN_FLIGHT = 200;
  private static final int SECOND_ANSWER_MILLIS = 4;
  private static final long LATE_OPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
  private static final double SPOILT_CHANCE = 0.2;
  private static final double FULL_CHANCE = 0.02;
  private static final double MISS_CHANCE = 0.01;

  private record Held(byte[] bytes, long receivedNanos) {}

  private final SoakHost host;
  private final Stream stream;
  private final Deque<Held> held = new ArrayDeque<>();
  private final List<byte[]> heldAnswers = new ArrayList<>();
  private final StringBuilder input = new StringBuilder();
  private final Set<String> inFlight = new HashSet<>();
  private final long openedNanos = System.nanoTime();
  private long inputReceivedNanos;
  private boolean closed;

  SoakHostConnection(SoakHost host, Stream stream) {
    this.host = host;
    this.stream = stream;
  }

  Stream stream() {
    return stream;
  }

  boolean isIdle() {
    return inFlight.isEmpty() && input.length() == 0 && held.isEmpty();
  }

  /** Whether its first bytes are still held, as those of a connection that comes up late. */
  boolean isLateToOpen() {
    return host.has(FaultKind.LATE_OPEN) && System.nanoTime() - openedNanos < LATE_OPEN_NANOS;
  }

  // ---- bytes ----

  @Override
  public void received(ByteBuf bytes) {
    byte[] copy = new byte[bytes.readableBytes()];
    bytes.readBytes(copy);
    // The rig may have stood still itself: then they may have come at any time since.
    long earliestNanos = TimeUnit.MICROSECONDS.toNanos(stream.earliestArrival().micros());
    Held arrived = new Held(copy, Math.min(earliestNanos, System.nanoTime()));
    if (isLateToOpen() || host.has(FaultKind.CUT) || !held.isEmpty()) {
      held.add(arrived);
    } else {
      deliver(arrived);
    }
  }

  /** The network is whole: what it has held arrives. */
  void deliverHeld() {
    while (!closed && !held.isEmpty()) {
      deliver(held.poll());
    }
    for (byte[] answer : List.copyOf(heldAnswers)) {
      write(answer);
    }
    heldAnswers.clear();
  }

  /** A reset destroys what the network holds; what a FIN follows arrives in the end. */
  @Override
  public void closed(String why) {
    if (why.contains("reset")) {
      held.clear();
    } else {
      deliverHeld();
    }
    closed = true;
    host.closed(this);
  }

  private void deliver(Held arrived) {
    inputReceivedNanos = arrived.receivedNanos();
    input.append(new String(arrived.bytes(), StandardCharsets.ISO_8859_1));
    while (parseCommand()) {
      // The next one.
    }
  }

  /** Parses one command from the input; false where none is whole. */
  private boolean parseCommand() {
    int lineEnd = input.indexOf("\r\n");
    if (lineEnd < 0) {
      return false;
    }
    String[] words = input.substring(0, lineEnd).split(" ");
    int end = lineEnd + 2;
    String body = "";
    if (words[0].equals("fire")) {
      int length = Integer.parseInt(words[3]);
      if (input.length() < end + length + 2) {
        return false;
      }
      body = input.substring(end, end + length);
      end += length + 2;
    }
    input.delete(0, end);
    command(words, body);
    return true;
  }

  private void command(String[] words, String body) {
    switch (words[0]) {
      case "fire" -> invoke(words[1], words[2], body);
      case "never_mind" -> inFlight.remove(words[1]);
      case "there", "busy" -> {
        host.records()
            .probes
            .add(
                new SoakRecords.Probe(
                    host.index(), TimeUnit.NANOSECONDS.toSeconds(System.nanoTime())));
        answer(words[1], host.isDraining() ? "dead" : "alive", "");
      }
      case "provision" -> answer(words[1], host.isDraining() ? "503" : "200", "");
      default -> {
        // Nothing is answered to the others.
      }
    }
  }

  // ---- invocations ----

  private void invoke(String id, String fields, String body) {
    long now = System.nanoTime();
    long limit = Long.parseLong(field(fields, "limit"));
    host.records()
        .attempts
        .add(
            new HostAttemptRecord(
                id,
                field(fields, "cls"),
                field(fields, "nonce"),
                body,
                limit,
                host.index(),
                inputReceivedNanos,
                now));
    if (host.has(FaultKind.HANG)) {
      return;
    }
    double chance = host.random().nextDouble();
    if (host.isDraining() || inFlight.size() >= MAX_IN_FLIGHT || chance < FULL_CHANCE) {
      refuse(id, "503", now);
    } else if (chance < FULL_CHANCE + MISS_CHANCE) {
      refuse(id, "404", now);
    } else {
      inFlight.add(id);
      boolean late = host.has(FaultKind.LATE);
      long work = (long) MIN_WORK_MILLIS + host.random().nextInt(WORK_MILLIS);
      after(late ? limit + work : work, () -> complete(id, body, late));
    }
  }

  private static String field(String fields, String name) {
    for (String field : fields.split(",")) {
      if (field.startsWith(name + "=")) {
        return field.substring(name.length() + 1);
      }
    }
    return "";
  }

  private void refuse(String id, String status, long atNanos) {
    host.records().provenNotRun.add(SoakRecords.attemptKey(id, host.index(), atNanos));
    answer(id, status, "");
  }

  /** A late host answers also what was cancelled. */
  private void complete(String id, String body, boolean late) {
    boolean wanted = inFlight.remove(id);
    if (!wanted && !late) {
      return;
    }
    if (host.has(FaultKind.SPOILT) && host.random().nextDouble() < SPOILT_CHANCE) {
      write((id + " 2x0 - \u0000 17\r\n").getBytes(StandardCharsets.ISO_8859_1));
      return;
    }
    answer(id, "200", body);
    if (host.has(FaultKind.TWICE)) {
      after(SECOND_ANSWER_MILLIS, () -> answer(id, "200", body));
    }
  }

  private void after(long millis, Runnable task) {
    host.loop()
        .scheduleAfter(
            Span.ofMillis(millis),
            () -> {
              if (!closed) {
                task.run();
              }
            });
  }

  private void answer(String id, String status, String body) {
    String text = id + " " + status + " - " + body.length() + "\r\n" + body + "\r\n";
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    if (host.has(FaultKind.CUT)) {
      heldAnswers.add(bytes);
    } else if (host.has(FaultKind.PIECES)) {
      int half = bytes.length / 2;
      byte[] first = java.util.Arrays.copyOfRange(bytes, 0, half);
      byte[] second = java.util.Arrays.copyOfRange(bytes, half, bytes.length);
      write(first);
      // Written at once: another answer must not come between the pieces.
      stream.flush();
      write(second);
    } else {
      write(bytes);
    }
  }

  private void write(byte[] bytes) {
    if (!closed) {
      stream.write(Unpooled.wrappedBuffer(bytes));
    }
  }
}
