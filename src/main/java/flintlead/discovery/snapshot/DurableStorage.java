package flintlead.discovery.snapshot;

import java.io.IOException;

/**
 * Durable storage of small named files: the few operations of a file system that are needed, so
 * that a test can fail any one of them.
 */
public interface DurableStorage {

  /** Suffix of the file that a replacement is written to before it is renamed. */
  String NEW_SUFFIX = ".new";

  /** Returns the file's bytes; null where there is no such file. */
  byte[] read(String name) throws IOException;

  /** Writes a file anew and returns once its bytes are on the medium. */
  void writeSynced(String name, byte[] bytes) throws IOException;

  /** Renames a file in one atomic step, in place of another where there is one. */
  void rename(String from, String to) throws IOException;

  /** Replaces a file's bytes, so that a crash at any step leaves the old ones or the new ones. */
  default void replace(String name, byte[] bytes) throws IOException {
    writeSynced(name + NEW_SUFFIX, bytes);
    rename(name + NEW_SUFFIX, name);
    syncDirectory();
  }

  /** Returns once earlier renames are on the medium. */
  void syncDirectory() throws IOException;
}
