package flintlead.benchlink;

import flintlead.configuration.startup.StartupSettings;
import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.api.InvocationSpec;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Adapter to the simulator's wire protocol: reads batches of events, passes each event to the
 * gateway instance that it is addressed to, and writes a reply to each batch. Events are decoded
 * field by field directly into calls. Only this package knows the protocol's instance numbers and
 * codes.
 */
public final class BenchLink {

  private static final int HEADER = 20;
  private static final int ENTRY = 22;
  private static final int LISTS = 16;

  private final DataInputStream in;
  private final OutputStream out;
  private final Reply reply = new Reply();
  private final Map<Integer, Instance> instances = new HashMap<>();
  private final List<List<HostEntry>> lists = new ArrayList<>();
  private byte[] body = new byte[1 << 16];

  /** Reads events from one stream and writes actions to the other. */
  public BenchLink(InputStream in, OutputStream out) {
    this.in = new DataInputStream(in);
    this.out = out;
    for (int i = 0; i < LISTS; i++) {
      lists.add(null);
    }
  }

  /** Processes batches and writes their replies until the input ends. */
  public void run() throws IOException, MalformedFrameException {
    byte[] header = new byte[HEADER];
    while (readHeader(header)) {
      ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
      int length = head.getInt(0);
      Moment clock = new Moment(head.getLong(4));
      int records = head.getInt(12);
      int sequence = head.getInt(16);
      if (length < 0) {
        throw new MalformedFrameException("batch " + sequence + ": its length is negative");
      }
      if (body.length < length) {
        body = new byte[Math.max(length, body.length * 2)];
      }
      int got = in.readNBytes(body, 0, length);
      if (got < length) {
        throw new MalformedFrameException(
            "batch " + sequence + ": the input ends after " + got + " of " + length + " bytes");
      }
      reply.begin();
      answer(
          ByteBuffer.wrap(body, 0, length).order(ByteOrder.LITTLE_ENDIAN),
          clock,
          records,
          sequence);
      reply.end(sequence);
      out.write(reply.array(), 0, reply.length());
      out.flush();
    }
  }

  private boolean readHeader(byte[] header) throws IOException, MalformedFrameException {
    int got = in.readNBytes(header, 0, HEADER);
    if (got != 0 && got < HEADER) {
      throw new MalformedFrameException(
          "batch header: the input ends after " + got + " of " + HEADER + " bytes");
    }
    return got == HEADER;
  }

  private void answer(ByteBuffer events, Moment clock, int records, int sequence)
      throws MalformedFrameException {
    for (int n = 0; n < records; n++) {
      int start = events.position();
      try {
        event(events, clock);
      } catch (BufferUnderflowException e) {
        throw malformed(sequence, n, start, "it is cut short");
      } catch (IllegalArgumentException e) {
        throw malformed(sequence, n, start, e.getMessage());
      }
    }
    if (events.hasRemaining()) {
      throw new MalformedFrameException(
          "batch "
              + sequence
              + ": "
              + events.remaining()
              + " bytes follow record "
              + (records - 1)
              + ", which ends at offset "
              + events.position());
    }
  }

  private static MalformedFrameException malformed(
      int sequence, int record, int offset, String what) {
    return new MalformedFrameException(
        "batch " + sequence + ", record " + record + " at offset " + offset + ": " + what);
  }

  private void event(ByteBuffer in, Moment clock) {
    int code = in.get() & 0xff;
    if (code == 11) {
      int list = in.getInt();
      lists.set(checked(list, LISTS, "list"), entries(in));
      return;
    }
    if (code > 10) {
      throw new IllegalArgumentException("unknown event code " + code);
    }
    int number = in.getShort() & 0xffff;
    if (code == 0) {
      long seed = in.getLong();
      byte[] text = new byte[checked(in.getInt(), in.remaining() + 1, "settings length")];
      in.get(text);
      var deployment =
          StartupSettings.parseLines(new String(text, StandardCharsets.UTF_8)).deployment();
      instances.put(number, new Instance(number, reply, clock, deployment, seed));
      return;
    }
    Instance instance = instances.get(number);
    if (instance == null) {
      throw new IllegalArgumentException("instance " + number + " was never configured");
    }
    Runnable call = decode(code, number, instance, in, clock);
    try {
      call.run();
    } catch (RuntimeException e) {
      instance.fatal(e.toString());
    }
  }

  /**
   * Reads the fields of one event and returns the call to make with them. Reading and calling are
   * separate steps, so that a malformed event can be told from an exception of the scheduler.
   */
  private Runnable decode(int code, int number, Instance instance, ByteBuffer in, Moment clock) {
    instance.advanceTo(clock);
    switch (code) {
      case 1:
        {
          int how = checked(in.get() & 0xff, 4, "announce kind");
          in.getLong();
          int list = in.getInt();
          List<HostEntry> hosts = how == 3 ? List.of() : lists.get(checked(list, LISTS, "list"));
          if (hosts == null) {
            throw new IllegalArgumentException("list " + list + " was never sent");
          }
          return () -> instance.announced(how, hosts);
        }
      case 2:
        {
          long ref = in.getLong();
          int type = in.get() & 0xff;
          int customer = in.getShort() & 0xffff;
          long function = in.getLong();
          Span left = span(in);
          Span effort = span(in);
          double memory = in.getFloat();
          double lanes = in.getFloat();
          Span load = Span.ofMillis(in.getFloat());
          int bits = in.get();
          InvocationSpec call =
              new InvocationSpec(
                  type,
                  customer,
                  function,
                  left,
                  effort,
                  (bits & 1) != 0,
                  memory,
                  lanes,
                  load,
                  (bits & 2) != 0);
          return () -> instance.arrived(ref, call);
        }
      case 3:
        {
          long ref = in.getLong();
          int shot = in.get() & 0xff;
          in.getInt();
          Span elapsed = span(in);
          return () -> instance.started(ref, shot, elapsed);
        }
      case 4:
        {
          long ref = in.getLong();
          int shot = in.get() & 0xff;
          in.getInt();
          Outcome outcome = outcome(in);
          Span elapsed = span(in);
          boolean last = in.get() != 0;
          int remark = in.get() & 0xff;
          float[] report = report(in);
          return () -> instance.ended(ref, shot, outcome, elapsed, last, remark, report);
        }
      case 5:
        {
          long ref = in.getLong();
          return () -> instance.hungUp(ref);
        }
      case 6:
        {
          long cookie = in.getLong();
          return () -> instance.fired(cookie);
        }
      case 7:
        {
          Span elapsed = span(in);
          Outcome outcome = outcome(in);
          long host = host(in);
          float[] report = report(in);
          return () -> instance.dispatcher().probeCompleted(host, outcome, elapsed, report);
        }
      case 8:
        {
          int who = in.getInt();
          byte[] words = new byte[in.getShort() & 0xffff];
          in.get(words);
          return () -> instance.dispatcher().gossipReceived(who, words);
        }
      case 9:
        return () -> instances.remove(number);
      default:
        {
          long host = host(in);
          long function = in.getLong();
          Outcome outcome = outcome(in);
          Span elapsed = span(in);
          int copies = in.get() & 0xff;
          return () ->
              instance.dispatcher().loadCompleted(host, function, outcome, elapsed, copies);
        }
    }
  }

  private static List<HostEntry> entries(ByteBuffer in) {
    int count = checked(in.getInt(), in.remaining() / ENTRY + 1, "number of list entries");
    List<HostEntry> entries = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int zone = in.getShort() & 0xffff;
      HostEntry.State state =
          switch (in.get()) {
            case 0 -> HostEntry.State.GONE;
            case 1 -> HostEntry.State.READY;
            case 2 -> HostEntry.State.DRAINING;
            default -> throw new IllegalArgumentException("unknown host state in entry " + i);
          };
      int cell = in.getShort() & 0xffff;
      long host = host(in);
      int kind = in.get() & 0xff;
      entries.add(
          new HostEntry(host, zone, cell, kind, state, new Moment(in.getLong()), in.getFloat()));
    }
    return entries;
  }

  private static Outcome outcome(ByteBuffer in) {
    int code = in.getShort() & 0xffff;
    return switch (code) {
      case 10 -> Outcome.OK;
      case 20 -> Outcome.ERROR;
      case 30 -> Outcome.FULL;
      case 40 -> Outcome.TIMEOUT;
      case 50 -> Outcome.CONNECT_FAILED;
      case 60 -> Outcome.RESET;
      case 70 -> Outcome.CANCELLED;
      case 80 -> Outcome.WITHDRAWN;
      case 90 -> Outcome.MISS;
      default -> throw new IllegalArgumentException("unknown outcome code " + code);
    };
  }

  private static float[] report(ByteBuffer in) {
    float[] report = new float[in.get() & 0xff];
    for (int i = 0; i < report.length; i++) {
      report[i] = in.getFloat();
    }
    return report;
  }

  private static Span span(ByteBuffer in) {
    return new Span(in.getInt() & 0xffffffffL);
  }

  private static long host(ByteBuffer in) {
    return in.getInt() & 0xffffffffL;
  }

  private static int checked(int value, int bound, String name) {
    if (value < 0 || value >= bound) {
      throw new IllegalArgumentException(name + " " + value + " is out of range");
    }
    return value;
  }
}
