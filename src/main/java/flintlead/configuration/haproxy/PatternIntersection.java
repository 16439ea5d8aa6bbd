package flintlead.configuration.haproxy;

import flintlead.routing.pool.NamePattern;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Intersects patterns of names, each with at most one star. */
final class PatternIntersection {

  private PatternIntersection() {}

  /**
   * Returns patterns that match what at least one pattern of each list matches; empty where there
   * is no such name.
   */
  static List<NamePattern> of(List<NamePattern> ones, List<NamePattern> others) {
    List<NamePattern> common = new ArrayList<>();
    for (NamePattern one : ones) {
      for (NamePattern other : others) {
        of(one.text(), other.text()).filter(both -> !common.contains(both)).ifPresent(common::add);
      }
    }
    return common;
  }

  private static Optional<NamePattern> of(String one, String other) {
    int star = one.indexOf(NamePattern.WILDCARD);
    int otherStar = other.indexOf(NamePattern.WILDCARD);
    if (star < 0 || otherStar < 0) {
      String name = star < 0 ? one : other;
      NamePattern pattern = new NamePattern(star < 0 ? other : one);
      return pattern.matches(name) ? Optional.of(new NamePattern(name)) : Optional.empty();
    }
    String prefix = longerPrefix(one.substring(0, star), other.substring(0, otherStar));
    String suffix = longerSuffix(one.substring(star + 1), other.substring(otherStar + 1));
    return prefix == null || suffix == null
        ? Optional.empty()
        : Optional.of(new NamePattern(prefix + NamePattern.WILDCARD + suffix));
  }

  /** Returns the longer of two prefixes of a name; null where a name can't have both. */
  private static String longerPrefix(String one, String other) {
    if (one.startsWith(other)) {
      return one;
    }
    return other.startsWith(one) ? other : null;
  }

  /** Returns the longer of two suffixes of a name; null where a name can't have both. */
  private static String longerSuffix(String one, String other) {
    if (one.endsWith(other)) {
      return one;
    }
    return other.endsWith(one) ? other : null;
  }
}
