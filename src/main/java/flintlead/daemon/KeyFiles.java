package flintlead.daemon;

import flintlead.membership.swim.MessageAuthenticator;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Files with the keys that authenticate messages between gateways, one key in each. */
final class KeyFiles {

  private KeyFiles() {}

  /**
   * Reads the keys, without white space round them. Blocks on the disk.
   *
   * @throws IOException when a file can't be read or its key is too short; the message has the
   *     file's name
   */
  static List<byte[]> read(List<Path> files) throws IOException {
    List<byte[]> keys = new ArrayList<>();
    for (Path file : files) {
      if (!Files.isRegularFile(file)) {
        throw new IOException(file + ": no such file");
      }
      byte[] key =
          Files.readString(file, StandardCharsets.ISO_8859_1)
              .strip()
              .getBytes(StandardCharsets.ISO_8859_1);
      if (key.length < MessageAuthenticator.MIN_KEY_BYTES) {
        throw new IOException(file + " holds " + key.length + " bytes, too few for a key");
      }
      keys.add(key);
    }
    return keys;
  }
}
