package flintlead.configuration.yaml;

import java.util.ArrayList;
import java.util.List;

/** Collects what is wrong with a file, so that all of it is reported at once. Not thread-safe. */
public final class ConfigurationErrors {

  private final String file;
  private final List<String> lines = new ArrayList<>();

  /** Creates an empty collection; {@code file} is the name that messages begin with. */
  public ConfigurationErrors(String file) {
    this.file = file;
  }

  /**
   * Adds a fault.
   *
   * @param line from 1
   * @param key the key's path in the file; empty for the file as a whole
   * @param what what is wrong
   * @param fix what to write instead, as an instruction
   */
  public void add(int line, String key, String what, String fix) {
    lines.add(file + ":" + line + ": " + (key.isEmpty() ? "" : key + ": ") + what + "; " + fix);
  }

  /** Returns the messages so far, a line each. */
  public List<String> lines() {
    return List.copyOf(lines);
  }

  /** Throws where there is any fault. */
  public void throwIfAny() throws YamlException {
    if (!lines.isEmpty()) {
      throw new YamlException(lines());
    }
  }
}
