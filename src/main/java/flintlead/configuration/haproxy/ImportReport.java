package flintlead.configuration.haproxy;

import java.util.ArrayList;
import java.util.List;

/** What became of each line of the source; each line has one entry. Not thread-safe. */
public final class ImportReport {

  /** What can become of a line. */
  public enum LineOutcome {
    /** Taken over with the same meaning. */
    MAPPED,
    /** Taken over with a difference in meaning. */
    DIFFERS,
    /** Understood, without a counterpart here. */
    DROPPED,
    /** Not understood. */
    UNKNOWN
  }

  /**
   * What became of one line.
   *
   * @param line from 1
   * @param text the line's words
   * @param why the reason for any outcome but the first; empty for that
   */
  public record Entry(String file, int line, LineOutcome outcome, String text, String why)
      implements Comparable<Entry> {
    @Override
    public int compareTo(Entry other) {
      int byFile = file.compareTo(other.file);
      return byFile != 0 ? byFile : Integer.compare(line, other.line);
    }

    @Override
    public String toString() {
      return file + ":" + line + ": " + text + (why.isEmpty() ? "" : "  -- " + why);
    }
  }

  private final List<Entry> entries = new ArrayList<>();
  private final List<String> assumptions = new ArrayList<>();

  void add(SourceLine line, LineOutcome fate, String why) {
    entries.add(new Entry(line.file(), line.number(), fate, line.text(), why));
  }

  void add(ImportProblem trouble) {
    entries.add(
        new Entry(
            trouble.file(), trouble.line(), LineOutcome.UNKNOWN, trouble.text(), trouble.why()));
  }

  /** Notes something that the files need and the source does not say. */
  void assume(String what) {
    if (!assumptions.contains(what)) {
      assumptions.add(what);
    }
  }

  /** Returns all entries, in the order of files and lines. */
  public List<Entry> entries() {
    return entries.stream().sorted().toList();
  }

  /** Returns the entries with that outcome, in the order of files and lines. */
  public List<Entry> entriesWith(LineOutcome fate) {
    return entries.stream().filter(entry -> entry.outcome() == fate).sorted().toList();
  }

  /** Returns what the files need and the source does not say. */
  public List<String> assumptions() {
    return List.copyOf(assumptions);
  }

  /** Returns the report as text, the worst outcomes first. */
  public String format() {
    StringBuilder text = new StringBuilder();
    for (LineOutcome fate :
        new LineOutcome[] {
          LineOutcome.UNKNOWN, LineOutcome.DROPPED, LineOutcome.DIFFERS, LineOutcome.MAPPED
        }) {
      List<Entry> some = entriesWith(fate);
      text.append(
              switch (fate) {
                case UNKNOWN -> "not understood";
                case DROPPED -> "dropped";
                case DIFFERS -> "taken over with a difference";
                case MAPPED -> "taken over";
              })
          .append(": ")
          .append(some.size())
          .append('\n');
      some.forEach(entry -> text.append("  ").append(entry).append('\n'));
    }
    if (!assumptions.isEmpty()) {
      text.append("assumed, as the source does not say it: ")
          .append(assumptions.size())
          .append('\n');
      assumptions.forEach(each -> text.append("  ").append(each).append('\n'));
    }
    return text.toString();
  }
}
