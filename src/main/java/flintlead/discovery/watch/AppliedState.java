package flintlead.discovery.watch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The registry's keys as of the last applied revision. */
final class AppliedState {

  /** Id of the registry's cluster; null before the first full read. */
  private String cluster;

  private long revision;
  private TreeMap<String, String> keys = new TreeMap<>();

  /** Characters of all keys and values. */
  private long characters;

  String cluster() {
    return cluster;
  }

  long revision() {
    return revision;
  }

  /** Returns whether anything has been applied yet, and from another cluster than this. */
  boolean isOfOtherCluster(String other) {
    return cluster != null && !cluster.equals(other);
  }

  /** Returns whether what was applied is of this cluster, and newer than the revision. */
  boolean isAheadOf(String ofCluster, long other) {
    return ofCluster.equals(cluster) && other < revision;
  }

  void replace(String newCluster, long newRevision, Map<String, String> all) {
    cluster = newCluster;
    revision = newRevision;
    keys = new TreeMap<>(all);
    characters = ListLimits.charactersOf(keys);
  }

  /** Applies the changes of one revision. */
  void apply(long newRevision, List<KeyChange> changes) {
    revision = newRevision;
    for (KeyChange change : changes) {
      boolean deleted = change.value() == null;
      String before = deleted ? keys.remove(change.key()) : keys.put(change.key(), change.value());
      characters -= before == null ? 0 : ListLimits.charactersOf(change.key(), before);
      characters += deleted ? 0 : ListLimits.charactersOf(change.key(), change.value());
    }
  }

  /**
   * Moves on to a later revision that is known in full.
   *
   * @return the changes that lead there: new and changed keys first, then deleted ones, each in the
   *     order of keys
   */
  List<KeyChange> advance(long newRevision, List<KeyChange> entries) {
    TreeMap<String, String> all = new TreeMap<>();
    entries.forEach(entry -> all.put(entry.key(), entry.value()));
    List<KeyChange> changes = new ArrayList<>();
    all.forEach(
        (key, value) -> {
          if (!value.equals(keys.get(key))) {
            changes.add(new KeyChange(key, value, newRevision));
          }
        });
    keys.keySet()
        .forEach(
            key -> {
              if (!all.containsKey(key)) {
                changes.add(new KeyChange(key, null, newRevision));
              }
            });
    revision = newRevision;
    keys = all;
    characters = ListLimits.charactersOf(keys);
    return changes;
  }

  /** Returns whether the list stays within the limits if all these changes add to it. */
  boolean hasRoomFor(List<KeyChange> changes, ListLimits limits) {
    return limits.allow(
        keys.size() + changes.size(), characters + ListLimits.charactersOf(changes));
  }

  /** Returns a copy of the keys with their values. */
  Map<String, String> keys() {
    return new TreeMap<>(keys);
  }

  @Override
  public String toString() {
    return cluster + "|" + revision + "|" + keys;
  }
}
