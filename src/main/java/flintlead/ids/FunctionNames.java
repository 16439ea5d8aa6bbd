package flintlead.ids;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * A bounded table of the most recently used function names by hash number, which detects two names
 * with the same number. Not thread-safe.
 */
public final class FunctionNames {

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final int capacity;
  private final ToLongFunction<String> hash;

  /** Names by number, least recently used first. */
  private final Map<Long, String> names = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  /**
   * Creates an empty table.
   *
   * @param capacity the most names remembered
   * @param hash returns the number of a name
   */
  public FunctionNames(int capacity, ToLongFunction<String> hash) {
    this.capacity = capacity;
    this.hash = hash;
  }

  /**
   * Remembers the name.
   *
   * @return its number
   * @throws IllegalArgumentException if another remembered name has the same number, because the
   *     instances and loads of the two functions would be confused
   */
  public long remember(String name) {
    long number = hash.applyAsLong(name);
    String other = names.putIfAbsent(number, name);
    if (other != null && !other.equals(name)) {
      throw new IllegalArgumentException(
          "function '"
              + name
              + "' has the same number as '"
              + other
              + "', which is in use; one of them must be renamed");
    }
    if (names.size() > capacity) {
      Iterator<Long> eldest = names.keySet().iterator();
      eldest.next();
      eldest.remove();
    }
    return number;
  }

  /**
   * Returns the name with that number; null if it is not remembered. Counts as a use of the name.
   */
  public String name(long number) {
    return names.get(number);
  }

  /** Returns how many names are remembered. */
  public int size() {
    return names.size();
  }
}
