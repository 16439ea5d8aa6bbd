package flintlead.configuration.haproxy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * Cuts lines into words, with quotes, escapes, comments and environment variables (manual, 2.2 and
 * 2.3). Variables are expanded inside double quotes only; one that is not set is empty unless a
 * default stands with it.
 */
final class LineTokenizer {

  /**
   * Longer words are refused, so that a variable that holds a whole file can't exhaust the memory.
   */
  private static final int MAX_WORD_CHARS = 65_536;

  private static final int MAX_WORDS = 4_096;
  private static final int HEX = 16;

  /** A line that can't be cut; the message gives the reason. */
  static final class UnreadableException extends Exception {
    private static final long serialVersionUID = 1;

    UnreadableException(String why) {
      super(why);
    }
  }

  private final UnaryOperator<String> environment;

  /**
   * Creates a tokenizer.
   *
   * @param environment returns a variable's value; null where it is not set
   */
  LineTokenizer(UnaryOperator<String> environment) {
    this.environment = environment;
  }

  /** Returns the words; none for an empty line or a comment. */
  List<String> cut(String line) throws UnreadableException {
    List<String> words = new ArrayList<>();
    StringBuilder word = null;
    int at = 0;
    while (at < line.length()) {
      char c = line.charAt(at);
      if (c == ' ' || c == '\t' || c == '\r') {
        word = endWord(words, word);
        at++;
      } else if (c == '#') {
        break;
      } else {
        word = word == null ? new StringBuilder() : word;
        at =
            switch (c) {
              case '\\' -> escape(line, at, word);
              case '\'' -> singleQuoted(line, at, word);
              case '"' -> doubleQuoted(line, at, word);
              default -> {
                word.append(c);
                yield at + 1;
              }
            };
        if (word.length() > MAX_WORD_CHARS) {
          throw new UnreadableException("a word of over " + MAX_WORD_CHARS + " characters");
        }
      }
    }
    endWord(words, word);
    return words;
  }

  /** Adds the word, where there is one, and returns null: no word is open any more. */
  private static StringBuilder endWord(List<String> words, StringBuilder word)
      throws UnreadableException {
    if (word != null) {
      if (words.size() == MAX_WORDS) {
        throw new UnreadableException("over " + MAX_WORDS + " words");
      }
      words.add(word.toString());
    }
    return null;
  }

  /**
   * Reads an escape, outside of quotes or in double ones: \n, \r, \t, \xHH, and any other character
   * as itself.
   */
  private static int escape(String line, int at, StringBuilder word) throws UnreadableException {
    if (at + 1 >= line.length()) {
      throw new UnreadableException("ends in a backslash");
    }
    char c = line.charAt(at + 1);
    switch (c) {
      case 'n' -> word.append('\n');
      case 'r' -> word.append('\r');
      case 't' -> word.append('\t');
      case 'x' -> {
        if (at + 3 >= line.length()
            || Character.digit(line.charAt(at + 2), HEX) < 0
            || Character.digit(line.charAt(at + 3), HEX) < 0) {
          throw new UnreadableException("\\x without two hexadecimal figures");
        }
        word.append((char) Integer.parseInt(line.substring(at + 2, at + 4), HEX));
        return at + 4;
      }
      default -> word.append(c);
    }
    return at + 2;
  }

  /** Reads up to the closing quote; returns the place after it. */
  private static int singleQuoted(String line, int at, StringBuilder word)
      throws UnreadableException {
    int end = line.indexOf('\'', at + 1);
    if (end < 0) {
      throw new UnreadableException("a single quote is not closed");
    }
    word.append(line, at + 1, end);
    return end + 1;
  }

  /** Reads up to the closing quote; returns the place after it. */
  private int doubleQuoted(String line, int from, StringBuilder word) throws UnreadableException {
    int at = from + 1;
    while (at < line.length()) {
      char c = line.charAt(at);
      if (c == '"') {
        return at + 1;
      }
      if (c == '\\') {
        at = escape(line, at, word);
      } else if (c == '$') {
        at = variable(line, at, word);
      } else {
        word.append(c);
        at++;
      }
    }
    throw new UnreadableException("a double quote is not closed");
  }

  /** Reads $NAME, ${NAME} or ${NAME-default}; returns the place after it. */
  private int variable(String line, int from, StringBuilder word) throws UnreadableException {
    boolean braces = from + 1 < line.length() && line.charAt(from + 1) == '{';
    int begin = from + (braces ? 2 : 1);
    int end = begin;
    while (end < line.length()
        && (Character.isLetterOrDigit(line.charAt(end)) || line.charAt(end) == '_')) {
      end++;
    }
    if (end == begin) {
      throw new UnreadableException("'$' without a name; write \\$ for the sign itself");
    }
    String value = environment.apply(line.substring(begin, end));
    if (!braces) {
      word.append(value == null ? "" : value);
      return end;
    }
    int close = line.indexOf('}', end);
    if (close < 0) {
      throw new UnreadableException("'${' is not closed");
    }
    String rest = line.substring(end, close);
    if (!rest.isEmpty() && !rest.startsWith("-")) {
      throw new UnreadableException(
          "'" + line.substring(from, close + 1) + "': write ${NAME} or ${NAME-otherwise}");
    }
    word.append(value != null ? value : rest.isEmpty() ? "" : rest.substring(1));
    return close + 1;
  }

  /** Returns the word quoted, so that it is cut to itself again. */
  static String quoted(String word) {
    if (word.isEmpty()) {
      return "''";
    }
    StringBuilder text = new StringBuilder();
    for (char c : word.toCharArray()) {
      switch (c) {
        case ' ', '#', '\\', '\'', '"', '$' -> text.append('\\').append(c);
        case '\n' -> text.append("\\n");
        case '\r' -> text.append("\\r");
        case '\t' -> text.append("\\t");
        default -> text.append(c);
      }
    }
    return text.toString();
  }
}
