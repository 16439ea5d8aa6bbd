package flintlead.discovery.watch;

import java.util.Collection;
import java.util.Map;

/**
 * Limits of a registry's list. A longer list is not applied: the list before it stays, and the
 * registry is read again after a backoff.
 *
 * @param keys number of keys
 * @param characters of all keys and values together
 */
public record ListLimits(int keys, long characters) {

  /** The limits where the memory does not set others. */
  public static final ListLimits DEFAULTS = new ListLimits(100_000, 64L << 20);

  boolean allow(long keyCount, long characterCount) {
    return keyCount <= keys && characterCount <= characters;
  }

  static long charactersOf(String key, String value) {
    return (long) key.length() + (value == null ? 0 : value.length());
  }

  static long charactersOf(Collection<KeyChange> changes) {
    return changes.stream().mapToLong(each -> charactersOf(each.key(), each.value())).sum();
  }

  static long charactersOf(Map<String, String> all) {
    return all.entrySet().stream()
        .mapToLong(each -> charactersOf(each.getKey(), each.getValue()))
        .sum();
  }

  @Override
  public String toString() {
    return keys + " keys and " + characters + " characters";
  }
}
