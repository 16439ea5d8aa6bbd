package flintlead.configuration.yaml;

import java.util.List;

/** A configuration file that can't be used; the message has a line for each fault. */
public final class YamlException extends Exception {

  private static final long serialVersionUID = 1;

  private final transient List<String> errors;

  /** Creates an exception with a message for each fault. */
  public YamlException(List<String> faults) {
    super(String.join("\n", faults));
    this.errors = faults;
  }

  /** Returns the messages: file, line, key, what is wrong and what to write instead. */
  public List<String> errors() {
    return errors;
  }
}
