package flintlead.configuration.haproxy;

import java.util.List;
import java.util.Set;

/**
 * A section of the source with its lines.
 *
 * @param kind its keyword, such as {@code backend}
 * @param name empty for a section without one
 * @param from the defaults section that it names; empty where it names none
 * @param head its first line
 * @param lines what follows the first line
 * @param defaults the defaults section that it inherits from; null for none
 */
public record SourceSection(
    String kind,
    String name,
    String from,
    SourceLine head,
    List<SourceLine> lines,
    SourceSection defaults) {

  /** Kinds of sections that configure proxies; others have no counterpart here. */
  private static final Set<String> SUPPORTED =
      Set.of("global", "defaults", "frontend", "backend", "listen");

  /** Returns the lines with that keyword: its own; where it has none, those of its defaults. */
  public List<SourceLine> all(String keyword) {
    List<SourceLine> own = lines.stream().filter(line -> line.keyword().equals(keyword)).toList();
    return !own.isEmpty() || defaults == null ? own : defaults.all(keyword);
  }

  /**
   * Returns the last such line, as later ones override earlier ones; null where there is none.
   *
   * @param second what the second word must be; null for any
   */
  public SourceLine last(String keyword, String second) {
    SourceLine found = null;
    for (SourceLine line : lines) {
      if (line.keyword().equals(keyword) && (second == null || line.word(1).equals(second))) {
        found = line;
      }
    }
    return found == null && defaults != null ? defaults.last(keyword, second) : found;
  }

  /** Returns whether it is of that kind. */
  public boolean is(String one) {
    return kind.equals(one);
  }

  boolean isSupported() {
    return SUPPORTED.contains(kind);
  }

  /** Returns whether clients come in here: only such sections have rules and addresses. */
  boolean isEntry() {
    return is("frontend") || is("listen");
  }

  /** Returns whether it may have servers. */
  boolean isBackend() {
    return is("backend") || is("listen");
  }
}
