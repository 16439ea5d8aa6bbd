package flintlead.configuration.yaml;

import flintlead.time.Span;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;

/**
 * A mapping of a YAML file. Each reading call names its key and what it may hold; {@link
 * #rejectUnknownKeys} then reports the keys that nothing has asked for. Faults are collected, and a
 * value that is wrong reads as the one given for its absence. Not thread-safe.
 */
public final class YamlSection {

  private static final int MAX_ALIASES = 20;
  private static final int MAX_CODE_POINTS = 4 << 20;

  /** Whole numbers below this are written without a fraction. */
  private static final double MAX_PLAIN = 1e15;

  private final ConfigurationErrors faults;
  private final String path;
  private final int line;
  private final Map<String, Node> values = new LinkedHashMap<>();
  private final Map<String, Integer> lines = new LinkedHashMap<>();
  private final Set<String> known = new LinkedHashSet<>();

  private YamlSection(ConfigurationErrors faults, String path, int line) {
    this.faults = faults;
    this.path = path;
    this.line = line;
  }

  // ---- reading a file ----

  /**
   * Returns the top mapping of a file.
   *
   * @throws YamlException when the file is not YAML
   */
  public static YamlSection read(Path file, ConfigurationErrors faults)
      throws IOException, YamlException {
    return read(Files.readString(file), faults);
  }

  /**
   * Returns the top mapping of a text.
   *
   * @throws YamlException when the text is not YAML
   */
  public static YamlSection read(String text, ConfigurationErrors faults) throws YamlException {
    LoadSettings settings =
        LoadSettings.builder()
            .setAllowDuplicateKeys(false)
            .setMaxAliasesForCollections(MAX_ALIASES)
            .setCodePointLimit(MAX_CODE_POINTS)
            .build();
    try {
      return of(new Compose(settings).composeString(text).orElse(null), faults, "", 1);
    } catch (MarkedYamlEngineException e) {
      int at = e.getProblemMark().map(Mark::getLine).orElse(0) + 1;
      faults.add(at, "", "not YAML: " + e.getProblem(), "mend the line or the one before it");
      throw new YamlException(faults.lines());
    } catch (YamlEngineException e) {
      faults.add(1, "", "not YAML: " + e.getMessage(), "mend the file");
      throw new YamlException(faults.lines());
    }
  }

  private static YamlSection of(Node node, ConfigurationErrors faults, String path, int line) {
    YamlSection section = new YamlSection(faults, path, line);
    if (node instanceof MappingNode mapping) {
      mapping.getValue().forEach(section::put);
    } else if (node != null && !isEmpty(node)) {
      faults.add(lineOf(node), path, "is not a mapping", "write 'key: value' lines here");
    }
    return section;
  }

  private void put(NodeTuple tuple) {
    String key = tuple.getKeyNode() instanceof ScalarNode scalar ? scalar.getValue() : "?";
    int keyLine = lineOf(tuple.getKeyNode());
    if (values.putIfAbsent(key, tuple.getValueNode()) != null) {
      faults.add(keyLine, pathOf(key), "stands twice", "remove one of them");
    }
    lines.put(key, keyLine);
  }

  private static boolean isEmpty(Node node) {
    return node instanceof ScalarNode scalar && scalar.getValue().isEmpty();
  }

  private static int lineOf(Node node) {
    return node.getStartMark().map(Mark::getLine).orElse(0) + 1;
  }

  private String pathOf(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  // ---- faults ----

  /**
   * Reports a fault of a key's value that only its reader can see.
   *
   * @param what what is wrong
   * @param fix what to write instead, as an instruction
   */
  public void addError(String name, String what, String fix) {
    faults.add(lines.getOrDefault(name, line), pathOf(name), what, fix);
  }

  /** Reports the keys that nothing has asked for. */
  public void rejectUnknownKeys() {
    for (String name : values.keySet()) {
      if (!known.contains(name)) {
        String meant = KeySuggestion.closest(known, name);
        addError(
            name,
            "is not known here",
            meant != null
                ? "did you mean '" + meant + "'?"
                : "remove it; known are " + String.join(", ", known));
      }
    }
  }

  /** Returns the line on which the mapping stands, from 1. */
  public int line() {
    return line;
  }

  // ---- single values ----

  /** Returns whether the key is there. */
  public boolean has(String name) {
    known.add(name);
    return values.containsKey(name);
  }

  private String scalar(String name) {
    known.add(name);
    Node node = values.get(name);
    if (node == null) {
      return null;
    }
    if (!(node instanceof ScalarNode scalar)) {
      addError(name, "is a list or a mapping", "write a single value");
      return null;
    }
    return scalar.getValue();
  }

  /**
   * Returns the text of a key.
   *
   * @param otherwise for an absent or empty value; null where the key must be there, and then a
   *     fault reads as an empty text
   */
  public String string(String name, String otherwise) {
    String text = scalar(name);
    if (text != null && !text.isEmpty()) {
      return text;
    }
    if (otherwise == null && !(values.get(name) instanceof SequenceNode)) {
      addError(name, "is missing", "add '" + name + ": …'");
    }
    return otherwise == null ? "" : otherwise;
  }

  /** Returns a number within bounds, both included. */
  public double number(String name, double otherwise, double least, double most) {
    String text = scalar(name);
    if (text == null) {
      return otherwise;
    }
    try {
      double number = Double.parseDouble(text);
      if (number >= least && number <= most) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Reported below, with what would be right.
    }
    addError(
        name,
        "'" + text + "' is not a number from " + plain(least) + " to " + plain(most),
        "write one, for example " + plain(otherwise));
    return otherwise;
  }

  /** Returns a whole number within bounds, both included. */
  public int integer(String name, int otherwise, int least, int most) {
    double number = number(name, otherwise, least, most);
    if (number != Math.rint(number)) {
      addError(
          name, "'" + number + "' is not a whole number", "write one, for example " + otherwise);
      return otherwise;
    }
    return (int) number;
  }

  private static String plain(double number) {
    boolean isWhole = number == Math.rint(number) && Math.abs(number) < MAX_PLAIN;
    return isWhole ? Long.toString((long) number) : Double.toString(number);
  }

  /** Returns a span of time, written with its unit, within bounds, both included. */
  public Span span(String name, Span otherwise, Span least, Span most) {
    String text = scalar(name);
    if (text == null) {
      return otherwise;
    }
    Span span = span(text);
    if (span == null) {
      addError(
          name,
          "'" + text + "' is not a span of time",
          "write a number with its unit: us, ms, s, m or h, as " + SpanText.format(otherwise));
      return otherwise;
    }
    if (span.isShorterThan(least) || span.isLongerThan(most)) {
      addError(
          name,
          "'" + text + "' is not within " + SpanText.format(least) + " to " + SpanText.format(most),
          "write one, for example " + SpanText.format(otherwise));
      return otherwise;
    }
    return span;
  }

  /** Returns the span that the text stands for; null where it is none. */
  public static Span span(String text) {
    return SpanText.parse(text);
  }

  /** Returns a truth value. */
  public boolean flag(String name, boolean otherwise) {
    String text = scalar(name);
    if (text == null || text.equals("true") || text.equals("false")) {
      return text == null ? otherwise : text.equals("true");
    }
    addError(name, "'" + text + "' is neither true nor false", "write one of the two");
    return otherwise;
  }

  /** Returns one of an enum's constants, written in lower case with dashes. */
  public <E extends Enum<E>> E enumValue(String name, E otherwise) {
    String text = scalar(name);
    if (text == null) {
      return otherwise;
    }
    List<String> names = new ArrayList<>();
    for (E constant : otherwise.getDeclaringClass().getEnumConstants()) {
      String written = constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
      if (written.equals(text)) {
        return constant;
      }
      names.add(written);
    }
    addError(name, "'" + text + "' is not known", "write one of " + String.join(", ", names));
    return otherwise;
  }

  // ---- mappings and lists ----

  /** Returns whether the key holds a mapping. */
  public boolean isMapping(String name) {
    known.add(name);
    return values.get(name) instanceof MappingNode;
  }

  /** Returns the mapping of a key; an empty one where the key is absent. */
  public YamlSection section(String name) {
    known.add(name);
    return of(values.get(name), faults, pathOf(name), lines.getOrDefault(name, line));
  }

  /** Returns the mappings of a list; empty where the key is absent. */
  public List<YamlSection> sections(String name) {
    known.add(name);
    Node node = values.get(name);
    List<YamlSection> sections = new ArrayList<>();
    if (node instanceof SequenceNode sequence) {
      for (Node each : sequence.getValue()) {
        sections.add(of(each, faults, pathOf(name) + "[" + sections.size() + "]", lineOf(each)));
      }
    } else if (node != null && !isEmpty(node)) {
      addError(name, "is not a list", "begin each entry with '- '");
    }
    return sections;
  }

  /** Returns the plain values of a list. */
  public List<String> strings(String name, List<String> otherwise) {
    known.add(name);
    Node node = values.get(name);
    if (node == null) {
      return otherwise;
    }
    if (node instanceof SequenceNode sequence
        && sequence.getValue().stream().allMatch(each -> each instanceof ScalarNode)) {
      return sequence.getValue().stream().map(each -> ((ScalarNode) each).getValue()).toList();
    }
    addError(name, "is not a list of plain values", "write [a, b]");
    return List.of();
  }
}
