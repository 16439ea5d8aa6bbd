package flintlead.routing.pool;

/**
 * Matches one name or, with a wildcard, all names with the prefix before and the suffix after the
 * wildcard.
 */
public record NamePattern(String text) {

  /** Matches any text, including the empty text. */
  public static final char WILDCARD = '*';

  /**
   * @throws IllegalArgumentException if the text is empty, contains control characters or has more
   *     than one wildcard
   */
  public NamePattern {
    if (text == null || text.isEmpty() || text.chars().anyMatch(Character::isISOControl)) {
      throw new IllegalArgumentException("a pattern must not be empty nor hold control characters");
    }
    if (text.indexOf(WILDCARD) != text.lastIndexOf(WILDCARD)) {
      throw new IllegalArgumentException("'" + text + "' has more than one star");
    }
  }

  /** Whether the pattern matches the name. */
  public boolean matches(String name) {
    int star = text.indexOf(WILDCARD);
    if (star < 0) {
      return text.equals(name);
    }
    int suffixLength = text.length() - star - 1;
    return name.length() >= text.length() - 1
        && name.startsWith(text.substring(0, star))
        && name.regionMatches(name.length() - suffixLength, text, star + 1, suffixLength);
  }

  /** Whether this pattern matches every name that the other one matches. */
  public boolean covers(NamePattern other) {
    int star = text.indexOf(WILDCARD);
    int otherStar = other.text.indexOf(WILDCARD);
    if (otherStar < 0) {
      return matches(other.text);
    }
    return star >= 0
        && other.text.substring(0, otherStar).startsWith(text.substring(0, star))
        && other.text.substring(otherStar + 1).endsWith(text.substring(star + 1));
  }

  @Override
  public String toString() {
    return text;
  }
}
