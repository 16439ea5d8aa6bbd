package flintlead.testing.emulator;

import flintlead.discovery.watch.KeyChange;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The keys of an emulated registry with their revisions, as etcd keeps them. On the registry's
 * loop.
 */
final class RegistryStore {

  /**
   * The value of a key.
   *
   * @param revision in which it was written last
   * @param lease that it is bound to; 0 for none
   */
  record Entry(String value, long revision, long lease) {}

  private static final String FIRST_CLUSTER = "1000";
  private static final long FIRST_REVISION = 1;

  private TreeMap<String, Entry> keys = new TreeMap<>();

  /** Revisions that are not compacted. */
  private final List<RegistryEmulator.CommittedRevision> log = new ArrayList<>();

  /** All revisions ever made, of all clusters. */
  private final List<RegistryEmulator.CommittedRevision> history = new ArrayList<>();

  private String cluster = FIRST_CLUSTER;
  private long revision = FIRST_REVISION;
  private long compacted;

  Map<String, Entry> keys() {
    return keys;
  }

  List<RegistryEmulator.CommittedRevision> log() {
    return log;
  }

  List<RegistryEmulator.CommittedRevision> history() {
    return history;
  }

  String cluster() {
    return cluster;
  }

  long revision() {
    return revision;
  }

  /** Revisions before this one are forgotten. */
  long compacted() {
    return compacted;
  }

  /**
   * Makes one revision.
   *
   * @param changes values by key; null deletes
   * @param lease that written keys are bound to; 0 for none
   * @return whether anything changed
   */
  boolean commit(Map<String, String> changes, long lease) {
    long next = revision + 1;
    List<KeyChange> made = new ArrayList<>();
    changes.forEach(
        (key, value) -> {
          if (value != null) {
            keys.put(key, new Entry(value, next, lease));
            made.add(new KeyChange(key, value, next));
          } else if (keys.remove(key) != null) {
            made.add(new KeyChange(key, null, next));
          }
        });
    if (made.isEmpty()) {
      return false;
    }
    revision = next;
    RegistryEmulator.CommittedRevision committed =
        new RegistryEmulator.CommittedRevision(cluster, revision, List.copyOf(made));
    log.add(committed);
    history.add(committed);
    return true;
  }

  /** The keys as they were at a revision of this cluster. */
  TreeMap<String, Entry> keysAt(long atRevision) {
    TreeMap<String, Entry> then = new TreeMap<>();
    for (RegistryEmulator.CommittedRevision made : history) {
      if (made.cluster().equals(cluster) && made.revision() <= atRevision) {
        made.changes().forEach(change -> apply(change, then));
      }
    }
    return then;
  }

  private static void apply(KeyChange change, Map<String, Entry> target) {
    if (change.value() == null) {
      target.remove(change.key());
    } else {
      target.put(change.key(), new Entry(change.value(), change.revision(), 0));
    }
  }

  /** Forgets the revisions before the given one. */
  void compact(long before) {
    compacted = Math.max(compacted, Math.min(before, revision));
    log.removeIf(made -> made.revision() < compacted);
  }

  /** Goes back to what the keys were at a revision, as from an old backup of the same cluster. */
  void restoreTo(long toRevision) {
    keys = keysAt(toRevision);
    long restored = FIRST_REVISION;
    for (RegistryEmulator.CommittedRevision made : history) {
      if (made.cluster().equals(cluster) && made.revision() <= toRevision) {
        restored = Math.max(restored, made.revision());
      }
    }
    revision = restored;
    long last = restored;
    log.removeIf(made -> made.revision() > last);
    compacted = compacted > last ? last + 1 : compacted;
    history.removeIf(made -> made.cluster().equals(cluster) && made.revision() > last);
  }

  /** Becomes another cluster without keys. */
  void becomeEmptyCluster() {
    cluster = Long.toString(Long.parseLong(cluster) + 1);
    keys = new TreeMap<>();
    log.clear();
    revision = FIRST_REVISION;
    compacted = 0;
  }
}
