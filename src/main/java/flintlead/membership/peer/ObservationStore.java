package flintlead.membership.peer;

import flintlead.discovery.snapshot.DurableStorage;
import flintlead.membership.transfer.InstanceObservation;
import flintlead.membership.transfer.ObservationFile;
import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.LongSupplier;

/**
 * Stores a gateway's own observations on disk every second, and passes those that its last process
 * stored to the gateway. Used on the gateway's event loop; files are read and written on another
 * thread.
 */
public final class ObservationStore {

  private static final String FILE_SUFFIX = ".sights";
  private static final Span STORE_INTERVAL = Span.ofMillis(1_000);

  private final EventExecutor loop;
  private final PeerService.LocalGateway gateway;
  private final DurableStorage disk;
  private final String file;
  private final Executor diskThread;
  private final LongSupplier epochMs;
  private final Span maxAge;
  private boolean writing;

  /** Whether the last write failed: only the first failure in a row is logged. */
  private boolean failing;

  private boolean closed;
  private int restored;

  /**
   * @param name the gateway's name, after which the file is called
   * @param diskThread runs what waits for the disk
   * @param epochMs the wall clock in milliseconds, as the last process had another monotonic clock
   * @param maxAge older observations are not used
   */
  public ObservationStore(
      EventExecutor loop,
      PeerService.LocalGateway gateway,
      DurableStorage disk,
      String name,
      Executor diskThread,
      LongSupplier epochMs,
      Span maxAge) {
    this.loop = loop;
    this.gateway = gateway;
    this.disk = disk;
    this.file = name + FILE_SUFFIX;
    this.diskThread = diskThread;
    this.epochMs = epochMs;
    this.maxAge = maxAge;
  }

  /** Restores what the last process stored, then stores the gateway's own observations. */
  public void start() {
    diskThread.execute(
        () -> {
          byte[] stored = read();
          loop.execute(
              () -> {
                if (stored != null) {
                  restore(stored);
                }
                scheduleStore();
              });
        });
  }

  /** On the disk thread; null where there is no file, or it can't be read. */
  private byte[] read() {
    try {
      return disk.read(file);
    } catch (IOException e) {
      loop.execute(() -> gateway.log("stored observations can't be read: " + e));
      return null;
    }
  }

  private void restore(byte[] stored) {
    try {
      List<InstanceObservation> observations =
          ObservationFile.decode(stored, epochMs.getAsLong(), maxAge);
      restored = observations.size();
      gateway.mergeObservations(observations);
      gateway.log("restored " + restored + " observations of the last process");
    } catch (IllegalArgumentException e) {
      gateway.log("stored observations are not used: " + e.getMessage());
    }
  }

  private void scheduleStore() {
    loop.scheduleAfter(
        STORE_INTERVAL,
        () -> {
          try {
            if (!writing) {
              store();
            }
          } finally {
            if (!closed) {
              scheduleStore();
            }
          }
        });
  }

  private void store() {
    byte[] encoded = ObservationFile.encode(gateway.observations(), epochMs.getAsLong());
    writing = true;
    try {
      diskThread.execute(() -> write(encoded));
    } catch (RejectedExecutionException e) {
      // The process stops, and its disk thread has ended before this loop: there is nothing more to
      // store.
      closed = true;
    }
  }

  /** On the disk thread. */
  private void write(byte[] encoded) {
    Exception failure = null;
    try {
      disk.replace(file, encoded);
    } catch (IOException | RuntimeException e) {
      failure = e;
    }
    Exception result = failure;
    loop.execute(() -> written(result));
  }

  /**
   * @param failure null where the write succeeded
   */
  private void written(Exception failure) {
    writing = false;
    if (failure != null && !failing) {
      gateway.log("observations can't be stored: " + failure);
    }
    failing = failure != null;
  }

  /** Observations of the last process that were passed to the gateway. */
  public int restoredCount() {
    return restored;
  }
}
