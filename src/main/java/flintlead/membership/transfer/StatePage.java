package flintlead.membership.transfer;

import flintlead.time.Span;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The response to a request: a page of observations, or why there is none. On the wire: version,
 * kind, request id, then for each observation function, host, instances (one byte) and age in steps
 * of 10 ms, rounded up (two bytes); all big-endian.
 *
 * @param requestId of the request
 * @param kind whether it has observations
 * @param observations in their order
 */
public record StatePage(long requestId, Kind kind, List<InstanceObservation> observations) {

  /** What a response is. They are sent by their ordinal: new ones go to the end. */
  public enum Kind {
    /** Observations, with more behind them. */
    MORE,
    /** The last observations. */
    LAST,
    /** Ask another, or later: others are being served. */
    BUSY,
    /** Ask another: this gateway has just started itself. */
    STARTING
  }

  /** The longest page, in bytes. */
  public static final int MAX_BYTES = 960;

  private static final byte VERSION = 1;
  private static final int HEADER_BYTES = 2 + Long.BYTES;
  private static final int OBSERVATION_BYTES = 2 * Long.BYTES + Byte.BYTES + Short.BYTES;

  /** As many observations as fit. */
  static final int MAX_OBSERVATIONS = (MAX_BYTES - HEADER_BYTES) / OBSERVATION_BYTES;

  private static final long AGE_STEP_MICROS = 10_000;
  private static final int MAX_AGE_STEPS = 0xffff;

  /** The highest age that can be sent; what is older is of no use to anyone. */
  static final Span MAX_AGE = new Span(AGE_STEP_MICROS * MAX_AGE_STEPS);

  /** A response without observations. */
  static StatePage empty(long requestId, Kind kind) {
    return new StatePage(requestId, kind, List.of());
  }

  byte[] encode() {
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + OBSERVATION_BYTES * observations.size());
    buffer.put(VERSION).put((byte) kind.ordinal()).putLong(requestId);
    observations.forEach(observation -> put(buffer, observation));
    return buffer.array();
  }

  private static void put(ByteBuffer buffer, InstanceObservation observation) {
    long ageSteps = (observation.age().micros() + AGE_STEP_MICROS - 1) / AGE_STEP_MICROS;
    buffer
        .putLong(observation.function())
        .putLong(observation.host())
        .put((byte) observation.instances())
        .putShort((short) ageSteps);
  }

  private static InstanceObservation get(ByteBuffer buffer) {
    return new InstanceObservation(
        buffer.getLong(),
        buffer.getLong(),
        Byte.toUnsignedInt(buffer.get()),
        new Span(Short.toUnsignedInt(buffer.getShort()) * AGE_STEP_MICROS));
  }

  /**
   * @throws IllegalArgumentException when it is no response of this version; nothing of it counts
   *     then
   */
  static StatePage decode(byte[] encoded) {
    try {
      ByteBuffer buffer = ByteBuffer.wrap(encoded);
      if (buffer.get() != VERSION) {
        throw new IllegalArgumentException("a page of another version");
      }
      int kind = buffer.get();
      if (kind < 0 || kind >= Kind.values().length) {
        throw new IllegalArgumentException("a page of kind " + kind);
      }
      long requestId = buffer.getLong();
      List<InstanceObservation> observations = new ArrayList<>();
      while (buffer.hasRemaining()) {
        observations.add(get(buffer));
      }
      return new StatePage(requestId, Kind.values()[kind], List.copyOf(observations));
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("a page that ends too soon", e);
    }
  }
}
