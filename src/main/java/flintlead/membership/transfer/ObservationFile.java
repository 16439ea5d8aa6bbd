package flintlead.membership.transfer;

import flintlead.time.Span;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Format of the file in which a gateway leaves its observations to its next process. A header of 28
 * bytes (magic number, version, time of the observations by the wall clock, their number, CRC-32C
 * of what follows), then 24 bytes for each observation; all big-endian.
 */
public final class ObservationFile {

  /** More are of no use to a process that has just started, and left out. */
  public static final int MAX_OBSERVATIONS = 50_000;

  private static final int MAGIC = 0x464c4b50;
  private static final int VERSION = 1;
  private static final int HEADER_BYTES = 28;
  private static final int OBSERVATION_BYTES = 24;
  private static final long MICROS_PER_MILLI = 1_000;

  private ObservationFile() {}

  /**
   * Encodes observations.
   *
   * @param epochMs when the observations were collected, in milliseconds of the wall clock
   */
  public static byte[] encode(List<InstanceObservation> observations, long epochMs) {
    int count = Math.min(MAX_OBSERVATIONS, observations.size());
    ByteBuffer buffer =
        ByteBuffer.allocate(HEADER_BYTES + OBSERVATION_BYTES * count).position(HEADER_BYTES);
    observations.subList(0, count).forEach(observation -> put(buffer, observation));
    int checksum = checksum(buffer.array());
    buffer
        .position(0)
        .putInt(MAGIC)
        .putInt(VERSION)
        .putLong(epochMs)
        .putLong(count)
        .putInt(checksum);
    return buffer.array();
  }

  private static void put(ByteBuffer buffer, InstanceObservation observation) {
    int ageMicros = (int) Math.min(Integer.MAX_VALUE, observation.age().micros());
    buffer
        .putLong(observation.function())
        .putLong(observation.host())
        .putInt(observation.instances())
        .putInt(ageMicros);
  }

  private static InstanceObservation get(ByteBuffer buffer) {
    return new InstanceObservation(
        buffer.getLong(), buffer.getLong(), buffer.getInt(), new Span(buffer.getInt()));
  }

  private static int checksum(byte[] file) {
    CRC32C checksum = new CRC32C();
    checksum.update(file, HEADER_BYTES, file.length - HEADER_BYTES);
    return (int) checksum.getValue();
  }

  /**
   * Reads the observations, as old as they are by now.
   *
   * @param nowEpochMs now, in milliseconds of the wall clock
   * @param maxAge older observations are left out; all of them where the clock was set back
   * @throws IllegalArgumentException with the reason when it is no such file, or a damaged one;
   *     nothing of it counts then
   */
  public static List<InstanceObservation> decode(byte[] file, long nowEpochMs, Span maxAge) {
    if (file.length < HEADER_BYTES) {
      throw new IllegalArgumentException("its beginning is torn off");
    }
    ByteBuffer buffer = ByteBuffer.wrap(file);
    if (buffer.getInt() != MAGIC || buffer.getInt() != VERSION) {
      throw new IllegalArgumentException("it is of another program or version");
    }
    long epochMs = buffer.getLong();
    long count = buffer.getLong();
    boolean sized =
        count >= 0
            && count <= MAX_OBSERVATIONS
            && file.length == HEADER_BYTES + OBSERVATION_BYTES * count;
    if (!sized || buffer.getInt() != checksum(file)) {
      throw new IllegalArgumentException("it is damaged");
    }
    long elapsedMs = nowEpochMs - epochMs;
    boolean usable = elapsedMs >= 0 && elapsedMs <= maxAge.micros() / MICROS_PER_MILLI;
    return usable ? readObservations(buffer, Span.ofMillis(elapsedMs), maxAge) : List.of();
  }

  private static List<InstanceObservation> readObservations(
      ByteBuffer buffer, Span elapsed, Span maxAge) {
    List<InstanceObservation> observations = new ArrayList<>();
    while (buffer.hasRemaining()) {
      InstanceObservation observation = get(buffer).agedBy(elapsed);
      if (observation.age().isShorterThan(maxAge)) {
        observations.add(observation);
      }
    }
    return observations;
  }
}
