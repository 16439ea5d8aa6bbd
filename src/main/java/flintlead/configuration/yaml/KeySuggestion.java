package flintlead.configuration.yaml;

import java.util.Collection;

/** Finds the known key that was probably meant by an unknown one. */
final class KeySuggestion {

  private KeySuggestion() {}

  /** Returns the closest of the known keys; null where none is close. */
  static String closest(Collection<String> known, String key) {
    String closest = null;
    for (String candidate : known) {
      if (closest == null || distance(candidate, key) < distance(closest, key)) {
        closest = candidate;
      }
    }
    int tolerance = 1 + key.length() / 3;
    return closest != null && distance(closest, key) <= tolerance ? closest : null;
  }

  /** Levenshtein's distance of two short words. */
  private static int distance(String a, String b) {
    int[] row = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int change = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
        diagonal = row[j];
        row[j] = Math.min(change, Math.min(row[j], row[j - 1]) + 1);
      }
    }
    return row[b.length()];
  }
}
