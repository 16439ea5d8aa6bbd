package flintlead.daemon;

import flintlead.configuration.yaml.YamlSection;
import flintlead.transport.loop.Address;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Reads values of a configuration file that several sections have: addresses and directories.
 * Faults are collected in the section.
 */
final class SectionValues {

  private SectionValues() {}

  /** Adds the address that the text stands for; an empty text adds none. */
  static void address(YamlSection from, String key, String text, List<Address> into) {
    if (text.isEmpty()) {
      return;
    }
    try {
      into.add(Address.parse(text));
    } catch (IllegalArgumentException e) {
      from.addError(key, e.getMessage(), "write unix:/path or tcp:127.0.0.1:4001");
    }
  }

  /** Returns an existing directory; null where the key is absent. */
  static Path directory(YamlSection from, String key) {
    if (!from.has(key)) {
      return null;
    }
    Path directory = Path.of(from.string(key, "."));
    if (!Files.isDirectory(directory)) {
      from.addError(key, "'" + directory + "' is no folder", "make it, or leave the key out");
    }
    return directory;
  }
}
