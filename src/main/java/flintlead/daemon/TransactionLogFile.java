package flintlead.daemon;

import flintlead.configuration.transaction.TransactionLog;
import flintlead.discovery.snapshot.DurableStorage;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * A gateway's transaction log in a file. Writes run on an executor of their own, and complete on
 * the loop.
 */
final class TransactionLogFile implements TransactionLog {

  private static final String NAME = "hosts.change";

  private final DurableStorage storage;
  private final Executor executor;
  private final Executor loop;
  private final Consumer<String> log;

  /**
   * Creates a log.
   *
   * @param storage null to write nothing: a restart then begins with the configuration file
   * @param executor runs the writes
   * @param loop where completions are called
   */
  TransactionLogFile(
      DurableStorage storage, Executor executor, Executor loop, Consumer<String> log) {
    this.storage = storage;
    this.executor = executor;
    this.loop = loop;
    this.log = log;
  }

  /**
   * Reads the record of the process before.
   *
   * @return null where there is none, or none that can be used; the latter is logged
   */
  static TransactionRecord read(DurableStorage storage, Consumer<String> log) {
    try {
      byte[] bytes = storage == null ? null : storage.read(NAME);
      TransactionRecord record =
          bytes == null
              ? null
              : TransactionRecord.decode(new String(bytes, StandardCharsets.UTF_8));
      if (record != null) {
        // All its hosts must be valid: one that is not would fail the start when the list is
        // applied.
        record.confirmed().hosts().values().forEach(HostConversion::toSpec);
      }
      return record;
    } catch (IOException | IllegalArgumentException e) {
      log.accept(
          "the record of changes can't be used: "
              + e.getMessage()
              + "; the file's hosts are taken");
      return null;
    }
  }

  @Override
  public void write(TransactionRecord record, Consumer<Boolean> onWritten) {
    if (storage == null) {
      onWritten.accept(true);
      return;
    }
    byte[] bytes = record.encode().getBytes(StandardCharsets.UTF_8);
    executor.execute(
        () -> {
          boolean written = replace(bytes);
          loop.execute(() -> onWritten.accept(written));
        });
  }

  private boolean replace(byte[] bytes) {
    try {
      storage.replace(NAME, bytes);
      return true;
    } catch (IOException e) {
      log.accept("the record of changes can't be written: " + e);
      return false;
    }
  }
}
