package flintlead.configuration.haproxy;

import java.util.Arrays;
import java.util.List;
import java.util.Set;

/** Lists of the manual's words, written in the source with spaces between them. */
final class WordList {

  private WordList() {}

  /** Returns the words of the text, in their order. */
  static List<String> of(String text) {
    return Arrays.asList(text.strip().split("\\s+"));
  }

  /** Returns the words of the text, without an order. */
  static Set<String> setOf(String text) {
    return Set.copyOf(of(text));
  }
}
