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

  private static final int HEADER_BYTES = 20;
  private static final int HOST_ENTRY_BYTES = 22;
  private static final int MAX_HOST_LISTS = 16;

  private final DataInputStream in;
  private final OutputStream out;
  private final Reply reply = new Reply();
  private final Map<Integer, SimulatedGateway> gateways = new HashMap<>();
  private final List<List<HostEntry>> hostLists = new ArrayList<>();
  private byte[] body = new byte[1 << 16];

  /** Reads events from one stream and writes actions to the other. */
  public BenchLink(InputStream in, OutputStream out) {
    this.in = new DataInputStream(in);
    this.out = out;
    for (int i = 0; i < MAX_HOST_LISTS; i++) {
      hostLists.add(null);
    }
  }

  /** Processes batches and writes their replies until the input ends. */
  public void run() throws IOException, MalformedFrameException {
    byte[] header = new byte[HEADER_BYTES];
    while (readHeader(header)) {
      ByteBuffer fields = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
      int length = fields.getInt(0);
      Moment clock = new Moment(fields.getLong(4));
      int records = fields.getInt(12);
      int sequence = fields.getInt(16);
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
      processRecords(
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
    int got = in.readNBytes(header, 0, HEADER_BYTES);
    if (got != 0 && got < HEADER_BYTES) {
      throw new MalformedFrameException(
          "batch header: the input ends after " + got + " of " + HEADER_BYTES + " bytes");
    }
    return got == HEADER_BYTES;
  }

  private void processRecords(ByteBuffer events, Moment clock, int records, int sequence)
      throws MalformedFrameException {
    for (int recordIndex = 0; recordIndex < records; recordIndex++) {
      int start = events.position();
      try {
        processEvent(events, clock);
      } catch (BufferUnderflowException e) {
        throw malformed(sequence, recordIndex, start, "it is cut short");
      } catch (IllegalArgumentException e) {
        throw malformed(sequence, recordIndex, start, e.getMessage());
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
      int sequence, int record, int offset, String problem) {
    return new MalformedFrameException(
        "batch " + sequence + ", record " + record + " at offset " + offset + ": " + problem);
  }

  private void processEvent(ByteBuffer in, Moment clock) {
    int code = in.get() & 0xff;
    if (code == 11) {
      int list = in.getInt();
      hostLists.set(requireInRange(list, MAX_HOST_LISTS, "list"), readHostEntries(in));
      return;
    }
    if (code > 10) {
      throw new IllegalArgumentException("unknown event code " + code);
    }
    int number = in.getShort() & 0xffff;
    if (code == 0) {
      long seed = in.getLong();
      byte[] text = new byte[requireInRange(in.getInt(), in.remaining() + 1, "settings length")];
      in.get(text);
      var deployment =
          StartupSettings.parseLines(new String(text, StandardCharsets.UTF_8)).deployment();
      gateways.put(number, new SimulatedGateway(number, reply, clock, deployment, seed));
      return;
    }
    SimulatedGateway gateway = gateways.get(number);
    if (gateway == null) {
      throw new IllegalArgumentException("instance " + number + " was never configured");
    }
    Runnable call = decode(code, number, gateway, in, clock);
    try {
      call.run();
    } catch (RuntimeException e) {
      gateway.fatal(e.toString());
    }
  }

  /**
   * Reads the fields of one event and returns the call to make with them. Reading and calling are
   * separate steps, so that a malformed event can be told from an exception of the scheduler.
   */
  private Runnable decode(
      int code, int number, SimulatedGateway gateway, ByteBuffer in, Moment clock) {
    gateway.advanceTo(clock);
    switch (code) {
      case 1:
        {
          int updateKind = requireInRange(in.get() & 0xff, 4, "announce kind");
          in.getLong();
          int list = in.getInt();
          List<HostEntry> hosts =
              updateKind == 3
                  ? List.of()
                  : hostLists.get(requireInRange(list, MAX_HOST_LISTS, "list"));
          if (hosts == null) {
            throw new IllegalArgumentException("list " + list + " was never sent");
          }
          return () -> gateway.hostListChanged(updateKind, hosts);
        }
      case 2:
        {
          long invocation = in.getLong();
          int type = in.get() & 0xff;
          int customer = in.getShort() & 0xffff;
          long function = in.getLong();
          Span timeout = readSpan(in);
          Span workHint = readSpan(in);
          double memoryMb = in.getFloat();
          double slotsPerInstance = in.getFloat();
          Span loadHint = Span.ofMillis(in.getFloat());
          int flags = in.get();
          InvocationSpec spec =
              new InvocationSpec(
                  type,
                  customer,
                  function,
                  timeout,
                  workHint,
                  (flags & 1) != 0,
                  memoryMb,
                  slotsPerInstance,
                  loadHint,
                  (flags & 2) != 0);
          return () -> gateway.submit(invocation, spec);
        }
      case 3:
        {
          long invocation = in.getLong();
          int attempt = in.get() & 0xff;
          in.getInt();
          Span elapsed = readSpan(in);
          return () -> gateway.responseStarted(invocation, attempt, elapsed);
        }
      case 4:
        {
          long invocation = in.getLong();
          int attempt = in.get() & 0xff;
          in.getInt();
          Outcome outcome = readOutcome(in);
          Span elapsed = readSpan(in);
          boolean answered = in.get() != 0;
          int remark = in.get() & 0xff;
          float[] report = readReport(in);
          return () ->
              gateway.attemptEnded(invocation, attempt, outcome, elapsed, answered, remark, report);
        }
      case 5:
        {
          long invocation = in.getLong();
          return () -> gateway.clientDisconnected(invocation);
        }
      case 6:
        {
          long timerId = in.getLong();
          return () -> gateway.timerFired(timerId);
        }
      case 7:
        {
          Span elapsed = readSpan(in);
          Outcome outcome = readOutcome(in);
          long host = readHostId(in);
          float[] report = readReport(in);
          return () -> gateway.policy().probeCompleted(host, outcome, elapsed, report);
        }
      case 8:
        {
          int peer = in.getInt();
          byte[] message = new byte[in.getShort() & 0xffff];
          in.get(message);
          return () -> gateway.policy().gossipReceived(peer, message);
        }
      case 9:
        return () -> gateways.remove(number);
      default:
        {
          long host = readHostId(in);
          long function = in.getLong();
          Outcome outcome = readOutcome(in);
          Span elapsed = readSpan(in);
          int instances = in.get() & 0xff;
          return () -> gateway.policy().loadCompleted(host, function, outcome, elapsed, instances);
        }
    }
  }

  private static List<HostEntry> readHostEntries(ByteBuffer in) {
    int count =
        requireInRange(
            in.getInt(), in.remaining() / HOST_ENTRY_BYTES + 1, "number of list entries");
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
      long host = readHostId(in);
      int kind = in.get() & 0xff;
      entries.add(
          new HostEntry(host, zone, cell, kind, state, new Moment(in.getLong()), in.getFloat()));
    }
    return entries;
  }

  private static Outcome readOutcome(ByteBuffer in) {
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

  private static float[] readReport(ByteBuffer in) {
    float[] report = new float[in.get() & 0xff];
    for (int i = 0; i < report.length; i++) {
      report[i] = in.getFloat();
    }
    return report;
  }

  private static Span readSpan(ByteBuffer in) {
    return new Span(in.getInt() & 0xffffffffL);
  }

  private static long readHostId(ByteBuffer in) {
    return in.getInt() & 0xffffffffL;
  }

  private static int requireInRange(int value, int bound, String name) {
    if (value < 0 || value >= bound) {
      throw new IllegalArgumentException(name + " " + value + " is out of range");
    }
    return value;
  }
}
