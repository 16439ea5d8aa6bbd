package flintlead.platform;

import flintlead.platform.journal.JsonReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;

/**
 * The configuration file on disk, with the modification time of the version read last. Not
 * thread-safe.
 */
final class ConfigurationFile {

  private final Path path;
  private final JsonReader json = new JsonReader();
  private FileTime lastModified;

  ConfigurationFile(Path path) {
    this.path = path;
  }

  /**
   * Reads the file.
   *
   * @throws IOException if the file can't be read
   * @throws IllegalArgumentException if the file is invalid; the message names the key and the
   *     reason
   */
  PlatformConfig read() throws IOException {
    lastModified = Files.getLastModifiedTime(path);
    return PlatformConfig.parse(json, Files.readAllBytes(path));
  }

  /**
   * Whether the modification time differs from that of the version read last.
   *
   * @throws IOException if the modification time can't be determined, for example while the file is
   *     being replaced
   */
  boolean isModified() throws IOException {
    return !Files.getLastModifiedTime(path).equals(lastModified);
  }
}
