package flintlead.configuration.haproxy;

import java.util.List;

/**
 * A line of the source in words, as the manual's section 2.2 cuts it.
 *
 * @param file the file's name
 * @param number of its first physical line, from 1
 * @param words at least one
 */
public record SourceLine(String file, int number, List<String> words) {

  /** Returns the first word. */
  public String keyword() {
    return words.get(0);
  }

  /** Returns the word at the place; empty where there is none. */
  public String word(int at) {
    return at < words.size() ? words.get(at) : "";
  }

  /** Returns the words from the place on; empty where there are none. */
  List<String> wordsFrom(int at) {
    return words.subList(Math.min(at, words.size()), words.size());
  }

  /** Returns file and line, as messages begin. */
  public String where() {
    return file + ":" + number;
  }

  /** Returns the words with a space between them. */
  public String text() {
    return String.join(" ", words);
  }
}
