package flintlead.discovery.watch;

import java.util.ArrayList;
import java.util.List;

/** Collects the changes of a watch until the last revision among them is complete. */
final class RevisionBuffer {

  private final List<KeyChange> changes = new ArrayList<>();

  void clear() {
    changes.clear();
  }

  boolean isEmpty() {
    return changes.isEmpty();
  }

  /** The buffered changes; a view. */
  List<KeyChange> changes() {
    return changes;
  }

  /** Returns the revision of the last change; the buffer must not be empty. */
  long lastRevision() {
    return changes.get(changes.size() - 1).revision();
  }

  /** Returns whether the change is of an earlier revision than the last one here. */
  boolean isOutOfOrder(KeyChange change) {
    return !isEmpty() && change.revision() < lastRevision();
  }

  /** Adds the change, unless it is a repeat: within one revision a key changes once. */
  void add(KeyChange change) {
    if (!contains(change)) {
      changes.add(change);
    }
  }

  private boolean contains(KeyChange change) {
    for (int i = changes.size() - 1;
        i >= 0 && changes.get(i).revision() == change.revision();
        i--) {
      if (changes.get(i).key().equals(change.key())) {
        return true;
      }
    }
    return false;
  }

  /** Empties the buffer and returns its changes, one list for each revision, in order. */
  List<List<KeyChange>> drain() {
    List<List<KeyChange>> revisions = new ArrayList<>();
    int from = 0;
    for (int i = 1; i <= changes.size(); i++) {
      if (i == changes.size() || changes.get(i).revision() != changes.get(from).revision()) {
        revisions.add(List.copyOf(changes.subList(from, i)));
        from = i;
      }
    }
    changes.clear();
    return revisions;
  }

  @Override
  public String toString() {
    return changes.toString();
  }
}
