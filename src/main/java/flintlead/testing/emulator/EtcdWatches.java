package flintlead.testing.emulator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import flintlead.discovery.watch.KeyChange;
import flintlead.transport.http.HttpServerConnection;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The watches of an emulated etcd. On the registry's loop. */
final class EtcdWatches {

  private static final class Watch {
    final HttpServerConnection connection;
    final EtcdKeyRange range;

    /** The last revision whose events were sent. */
    long sentRevision;

    Watch(HttpServerConnection connection, EtcdKeyRange range, long sentRevision) {
      this.connection = connection;
      this.range = range;
      this.sentRevision = sentRevision;
    }
  }

  private final RegistryEmulator registry;
  private final RegistryStore store;
  private final EtcdJson json;
  private final List<Watch> watches = new ArrayList<>();

  EtcdWatches(RegistryEmulator registry, RegistryStore store, EtcdJson json) {
    this.registry = registry;
    this.store = store;
    this.json = json;
  }

  /**
   * Begins a watch and sends the revisions that it has missed.
   *
   * @param startRevision the first revision wanted; 0 for those from now on
   */
  void create(HttpServerConnection connection, EtcdKeyRange range, long startRevision) {
    connection.beginChunked(Map.of());
    if (startRevision > 0 && startRevision < store.compacted()) {
      connection.writeChunk(
          json.resultLine(
              json.header()
                  .put("canceled", true)
                  .put("compact_revision", Long.toString(store.compacted()))));
      connection.endChunked();
      return;
    }
    connection.writeChunk(json.resultLine(json.header().put("created", true)));
    long sent =
        startRevision > 0
            ? Math.max(0, startRevision - 1 - registry.replayedRevisions)
            : store.revision();
    Watch watch = new Watch(connection, range, sent);
    watches.add(watch);
    send(watch);
  }

  /** Sends each watch the revisions that it lacks. */
  void sendAll() {
    new ArrayList<>(watches).forEach(this::send);
  }

  private void send(Watch watch) {
    for (RegistryEmulator.CommittedRevision made : store.log()) {
      if (made.revision() > watch.sentRevision) {
        watch.sentRevision = made.revision();
        sendRevision(
            watch,
            made.changes().stream().filter(each -> watch.range.contains(each.key())).toList());
      }
    }
  }

  private void sendRevision(Watch watch, List<KeyChange> changes) {
    int size = registry.fragmentSize > 0 ? registry.fragmentSize : Math.max(1, changes.size());
    for (int from = 0; from < changes.size(); from += size) {
      int to = Math.min(changes.size(), from + size);
      ObjectNode result = json.header();
      ArrayNode events = result.putArray("events");
      changes.subList(from, to).forEach(change -> writeEvent(events.addObject(), change));
      if (from + size < changes.size()) {
        result.put("fragment", true);
      }
      watch.connection.writeChunk(json.resultLine(result));
    }
  }

  private static void writeEvent(ObjectNode event, KeyChange change) {
    if (change.value() == null) {
      event.put("type", "DELETE");
    }
    EtcdJson.writeKeyValue(event.putObject("kv"), change.key(), change.value(), change.revision());
  }

  /** Tells every watch that has all revisions how far it is. */
  void sendProgress() {
    for (Watch watch : watches) {
      if (watch.sentRevision == store.revision()) {
        watch.connection.writeChunk(json.resultLine(json.header()));
      }
    }
  }

  /** Ends every watch with a reason. */
  void cancelAll(String why) {
    for (Watch watch : new ArrayList<>(watches)) {
      watch.connection.writeChunk(
          json.resultLine(json.header().put("canceled", true).put("cancel_reason", why)));
      watch.connection.endChunked();
    }
    watches.clear();
  }

  void disconnected(HttpServerConnection connection) {
    watches.removeIf(watch -> watch.connection == connection);
  }
}
