package flintlead.discovery.snapshot;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import flintlead.time.Span;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * A snapshot in a file: a header of sixteen bytes (magic, format version, length and CRC-32C of the
 * body), then the body as CBOR (RFC 8949). It is written to a new file, synced and renamed: a crash
 * at any step leaves the old snapshot or the new one. Anything else that is found is refused, and
 * logged; the start is then without a snapshot.
 *
 * <p>All methods block on the disk. Reads and writes must not overlap.
 */
public final class SnapshotFile {

  private static final byte[] MAGIC = "FLSN".getBytes(StandardCharsets.US_ASCII);
  private static final int FORMAT_VERSION = 1;
  private static final int HEADER_BYTES = 16;
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final DurableStorage storage;
  private final String name;
  private final Span maxAge;
  private final Consumer<String> log;
  private final ObjectMapper mapper =
      new CBORMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  /** Whether the last write failed: a row of failures is logged once. */
  private boolean failing;

  /** A file that cannot be used; the message gives the reason. */
  private static final class UnusableSnapshotException extends Exception {
    private static final long serialVersionUID = 1;

    UnusableSnapshotException(String reason) {
      super(reason);
    }
  }

  /**
   * Creates a snapshot file.
   *
   * @param name of the file in the storage
   * @param maxAge older snapshots are not used: too much has changed for them to help
   * @param log receives a line for operators
   */
  public SnapshotFile(DurableStorage storage, String name, Span maxAge, Consumer<String> log) {
    this.storage = storage;
    this.name = name;
    this.maxAge = maxAge;
    this.log = log;
  }

  /**
   * Writes the snapshot in place of the one before.
   *
   * @return false where that failed; the one before is still there
   */
  public boolean write(Snapshot snapshot) {
    try {
      byte[] body = mapper.writeValueAsBytes(snapshot);
      ByteBuffer file = ByteBuffer.allocate(HEADER_BYTES + body.length);
      file.put(MAGIC).putInt(FORMAT_VERSION).putInt(body.length).putInt(checksum(body)).put(body);
      storage.replace(name, file.array());
      failing = false;
      return true;
    } catch (IOException e) {
      if (!failing) {
        log.accept("the snapshot " + name + " can't be written: " + e + "; the one before stays");
      }
      failing = true;
      return false;
    }
  }

  private static int checksum(byte[] body) {
    CRC32C checksum = new CRC32C();
    checksum.update(body);
    return (int) checksum.getValue();
  }

  /**
   * Reads the snapshot.
   *
   * @param source the registry and prefix that it must be of
   * @param nowEpochMs the wall clock's time, in milliseconds
   * @return null where there is none, or none that can be used; the latter is logged
   */
  public Snapshot read(String source, long nowEpochMs) {
    try {
      byte[] file = load();
      if (file == null) {
        return null;
      }
      Snapshot snapshot = decode(body(file));
      checkUsable(snapshot, source, nowEpochMs);
      return snapshot;
    } catch (UnusableSnapshotException e) {
      log.accept("the snapshot " + name + " " + e.getMessage() + "; it is not used");
      return null;
    }
  }

  private byte[] load() throws UnusableSnapshotException {
    try {
      return storage.read(name);
    } catch (IOException e) {
      throw new UnusableSnapshotException("can't be read: " + e);
    }
  }

  /** Checks the header, and returns what follows it. */
  private static byte[] body(byte[] file) throws UnusableSnapshotException {
    if (file.length < HEADER_BYTES
        || !Arrays.equals(file, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
      throw new UnusableSnapshotException(
          "is no snapshot of flintlead, or its header is incomplete");
    }
    ByteBuffer header = ByteBuffer.wrap(file).position(MAGIC.length);
    int version = header.getInt();
    int length = header.getInt();
    int checksum = header.getInt();
    if (version != FORMAT_VERSION) {
      throw new UnusableSnapshotException(
          "has version " + version + ", this program reads " + FORMAT_VERSION);
    }
    if (length != file.length - HEADER_BYTES) {
      throw new UnusableSnapshotException(
          "has " + (file.length - HEADER_BYTES) + " of " + length + " bytes");
    }
    byte[] body = Arrays.copyOfRange(file, HEADER_BYTES, file.length);
    if (checksum(body) != checksum) {
      throw new UnusableSnapshotException("is damaged: its checksum does not fit");
    }
    return body;
  }

  private Snapshot decode(byte[] body) throws UnusableSnapshotException {
    try {
      return mapper.readValue(body, Snapshot.class);
    } catch (JsonProcessingException e) {
      throw new UnusableSnapshotException("can't be decoded: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new UnusableSnapshotException("can't be decoded: " + e);
    }
  }

  private void checkUsable(Snapshot snapshot, String source, long nowEpochMs)
      throws UnusableSnapshotException {
    if (snapshot == null || snapshot.keys() == null || !source.equals(snapshot.source())) {
      throw new UnusableSnapshotException(
          "is of another registry: " + (snapshot == null ? "none" : snapshot.source()));
    }
    long ageMs = nowEpochMs - snapshot.epochMs();
    if (ageMs < 0 || ageMs * MICROS_PER_MILLI > maxAge.micros()) {
      throw new UnusableSnapshotException(
          "is "
              + ageMs / MILLIS_PER_SECOND
              + " s old, at most "
              + maxAge.micros() / MICROS_PER_SECOND
              + " s are of use");
    }
  }
}
