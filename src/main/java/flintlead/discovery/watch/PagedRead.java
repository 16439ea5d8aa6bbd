package flintlead.discovery.watch;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A full read under way: its pages so far, all of one cluster and one revision. */
final class PagedRead {

  private long revision;

  /** Cluster of the first page; null before it has come. */
  private String cluster;

  private final TreeMap<String, String> keys = new TreeMap<>();
  private long characters;

  /** Forgets the pages; the revision is kept until the next read begins. */
  void clear() {
    cluster = null;
    keys.clear();
    characters = 0;
  }

  /** Begins a read of the newest revision. */
  void begin() {
    clear();
    revision = 0;
  }

  /** Returns whether a page of this cluster can go on with the pages so far. */
  boolean accepts(String ofCluster) {
    return cluster == null || cluster.equals(ofCluster);
  }

  /** Adds a page; the first one fixes the revision. */
  void add(String ofCluster, long ofRevision, List<KeyChange> entries) {
    revision = cluster == null ? ofRevision : revision;
    cluster = ofCluster;
    characters += ListLimits.charactersOf(entries);
    entries.forEach(entry -> keys.put(entry.key(), entry.value()));
  }

  long revision() {
    return revision;
  }

  /** Returns whether the list stays within the limits with another page. */
  boolean hasRoomFor(List<KeyChange> entries, ListLimits limits) {
    return limits.allow(
        keys.size() + entries.size(), characters + ListLimits.charactersOf(entries));
  }

  int size() {
    return keys.size();
  }

  String lastKey() {
    return keys.lastKey();
  }

  /** The keys read so far; a view. */
  Map<String, String> keys() {
    return keys;
  }

  @Override
  public String toString() {
    return revision + "|" + cluster + "|" + keys;
  }
}
