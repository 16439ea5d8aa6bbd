package flintlead.configuration.haproxy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * HAProxy's configuration files, read into sections. Lines that can't be read are collected in
 * {@link #problems}, and reading goes on after them. Not thread-safe.
 */
public final class HaproxySource {

  /** Larger files are refused. */
  public static final int MAX_BYTES = 16 << 20;

  /**
   * Sections of the manual (2.1, 3 to 12); any other word at the head of a section is not
   * understood.
   */
  static final Set<String> SECTION_KINDS =
      Set.of(
          "global",
          "defaults",
          "frontend",
          "backend",
          "listen",
          "peers",
          "resolvers",
          "userlist",
          "mailers",
          "cache",
          "program",
          "http-errors",
          "ring",
          "fcgi-app",
          "log-forward",
          "crt-store",
          "traces");

  private static final Set<String> NAMELESS_KINDS = Set.of("global", "traces");

  /** Kinds that inherit from defaults, and defaults themselves. */
  private static final Set<String> INHERITING_KINDS =
      Set.of("frontend", "backend", "listen", "defaults");

  private final List<SourceSection> sections = new ArrayList<>();
  private final List<ImportProblem> problems = new ArrayList<>();
  private final Map<String, SourceSection> namedDefaults = new LinkedHashMap<>();
  private final LineTokenizer tokenizer;
  private SourceSection lastDefaults;

  /** The section that lines belong to now; null after a head that can't be read. */
  private SourceSection open;

  private int lineCount;

  private HaproxySource(UnaryOperator<String> environment) {
    tokenizer = new LineTokenizer(environment);
  }

  /**
   * Reads files one after the other.
   *
   * @param environment returns a variable's value; null where it is not set
   * @throws IOException when a file can't be read or is too large
   */
  public static HaproxySource read(List<Path> files, UnaryOperator<String> environment)
      throws IOException {
    HaproxySource source = new HaproxySource(environment);
    for (Path file : files) {
      if (Files.size(file) > MAX_BYTES) {
        throw new IOException(file + " has over " + MAX_BYTES + " bytes");
      }
      source.addFile(file.toString(), Files.readString(file, StandardCharsets.ISO_8859_1));
    }
    return source;
  }

  /** Reads a text as the file of that name. */
  public static HaproxySource parse(String file, String text, UnaryOperator<String> environment) {
    HaproxySource source = new HaproxySource(environment);
    source.addFile(file, text);
    return source;
  }

  /** A section does not go on from one file into the next. */
  private void addFile(String file, String text) {
    open = null;
    String[] physical = text.split("\n", -1);
    for (int i = 0; i < physical.length; i++) {
      int first = i + 1;
      StringBuilder whole = new StringBuilder(physical[i]);
      while (isContinued(whole) && i + 1 < physical.length) {
        whole.setLength(whole.length() - 1);
        whole.append(' ').append(physical[++i].stripLeading());
      }
      addLine(file, first, whole.toString());
    }
  }

  private void addLine(String file, int number, String text) {
    if (text.isBlank() || text.stripLeading().startsWith("#")) {
      return;
    }
    try {
      List<String> words = tokenizer.cut(text);
      if (!words.isEmpty()) {
        lineCount++;
        addLine(new SourceLine(file, number, List.copyOf(words)));
      }
    } catch (LineTokenizer.UnreadableException e) {
      lineCount++;
      problems.add(new ImportProblem(file, number, text.strip(), e.getMessage()));
    }
  }

  /**
   * Returns whether an odd number of backslashes stands at the end: an even one stands for
   * backslashes.
   */
  private static boolean isContinued(CharSequence line) {
    int backslashes = 0;
    for (int i = line.length() - 1; i >= 0 && line.charAt(i) == '\\'; i--) {
      backslashes++;
    }
    return backslashes % 2 == 1;
  }

  private void addLine(SourceLine line) {
    if (SECTION_KINDS.contains(line.keyword())) {
      openSection(line);
    } else if (open == null) {
      addProblem(line, "stands in no section that can be read");
    } else {
      open.lines().add(line);
    }
  }

  private void addProblem(SourceLine line, String why) {
    problems.add(new ImportProblem(line.file(), line.number(), line.text(), why));
  }

  private void openSection(SourceLine head) {
    open = null;
    String kind = head.keyword();
    boolean isNamed = !NAMELESS_KINDS.contains(kind) && !head.word(1).equals("from");
    String name = isNamed ? head.word(1) : "";
    int next = isNamed ? 2 : 1;
    String from = "";
    if (head.word(next).equals("from")) {
      from = head.word(next + 1);
      next += 2;
    }
    boolean inherits = INHERITING_KINDS.contains(kind);
    if (next < head.words().size()) {
      addProblem(head, "'" + head.word(next) + "' is too much at the head of a section");
    } else if (name.isEmpty() && !NAMELESS_KINDS.contains(kind) && !kind.equals("defaults")) {
      addProblem(head, "the section has no name");
    } else if (!from.isEmpty() && (!inherits || !namedDefaults.containsKey(from))) {
      addProblem(head, "there are no defaults '" + from + "' above");
    } else {
      addSection(
          new SourceSection(kind, name, from, head, new ArrayList<>(), inherited(kind, from)));
    }
  }

  /** Manual, 4: a proxy without "from" inherits from the last defaults before it. */
  private SourceSection inherited(String kind, String from) {
    if (!from.isEmpty()) {
      return namedDefaults.get(from);
    }
    return INHERITING_KINDS.contains(kind) && !kind.equals("defaults") ? lastDefaults : null;
  }

  private void addSection(SourceSection section) {
    open = section;
    sections.add(section);
    if (section.is("defaults")) {
      lastDefaults = section;
      if (!section.name().isEmpty()) {
        namedDefaults.put(section.name(), section);
      }
    }
  }

  /** Returns the sections, in the order of the files. */
  public List<SourceSection> sections() {
    return sections;
  }

  /** Returns the lines that can't be read, and the heads of sections that can't. */
  public List<ImportProblem> problems() {
    return problems;
  }

  /**
   * Returns the number of lines that are neither empty nor comments: each stands in a section or
   * among the problems.
   */
  public int lines() {
    return lineCount;
  }

  /** Returns the source in a normal form, which is read as the same sections. */
  public String format() {
    StringBuilder text = new StringBuilder();
    for (SourceSection part : sections) {
      text.append(printed(part.head())).append('\n');
      for (SourceLine line : part.lines()) {
        text.append("    ").append(printed(line)).append('\n');
      }
      text.append('\n');
    }
    return text.toString();
  }

  private static String printed(SourceLine line) {
    List<String> quoted = new ArrayList<>();
    line.words().forEach(word -> quoted.add(LineTokenizer.quoted(word)));
    return String.join(" ", quoted);
  }
}
