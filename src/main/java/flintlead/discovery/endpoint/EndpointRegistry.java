package flintlead.discovery.endpoint;

import flintlead.scheduling.api.HostEntry.State;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Merges what a registry lists with what the hosts themselves show, into the endpoint list that a
 * gateway uses.
 *
 * <p>A host that shuts down writes the state draining before its key goes. That is applied at once,
 * for any number of hosts (rule 3). A key that goes while its host is ready has lost its lease: the
 * host's process died, or the registry failed. One or a few such hosts are removed at once. When
 * most ready hosts go so in one change, the registry is suspected: those that still answer this
 * gateway are retained for a bounded time and probed every second. The bound and the probes keep a
 * fleet that is really gone from being used.
 *
 * <p>No input or output, no clock. Not thread-safe: used on one loop.
 */
public final class EndpointRegistry {

  /**
   * From this many ready hosts lost in one change, and this share of all that were ready, the
   * registry is suspected.
   */
  private static final int MIN_SUSPICIOUS_LOSSES = 3;

  private static final double SUSPICIOUS_SHARE = 0.5;

  /** Longest time for which a lost host is retained. */
  private static final Span MAX_RETENTION = Span.ofMillis(30_000);

  /** A lost host is retained only while its last response is no older. */
  private static final Span MAX_SILENCE = Span.ofMillis(3_000);

  private static final long MICROS_PER_SECOND = 1_000_000;

  /** A host that the registry has lost and that is still used. */
  private record RetainedHost(EndpointRecord endpoint, Moment since) {}

  private final Consumer<String> log;
  private final Function<String, Moment> lastResponseAt;
  private final TreeMap<String, EndpointRecord> registered = new TreeMap<>();
  private final Map<String, RetainedHost> retained = new HashMap<>();

  /** Keys whose last value could not be read, with the reason. */
  private final Map<String, String> unreadableKeys = new HashMap<>();

  /**
   * Creates an empty endpoint list.
   *
   * @param log receives a line for operators
   * @param lastResponseAt returns when a host of that name last answered this gateway; null where
   *     it never did
   */
  public EndpointRegistry(Consumer<String> log, Function<String, Moment> lastResponseAt) {
    this.log = log;
    this.lastResponseAt = lastResponseAt;
  }

  /**
   * Applies changes that were made together.
   *
   * @param endpoints endpoints by key; null for a deleted key. A key that cannot be read is left
   *     out, and given to {@link #markUnreadable}
   * @return whether the endpoint list has changed
   */
  public boolean applyChanges(Map<String, EndpointRecord> endpoints, Moment now) {
    Map<String, EndpointRecord> lost = new TreeMap<>();
    int readyBefore = readyCount();
    boolean changed = false;
    for (Map.Entry<String, EndpointRecord> entry : endpoints.entrySet()) {
      String key = entry.getKey();
      unreadableKeys.remove(key);
      if (entry.getValue() != null) {
        retained.remove(key);
        changed |= !entry.getValue().equals(registered.put(key, entry.getValue()));
      } else {
        EndpointRecord before = registered.remove(key);
        changed |= before != null;
        if (before != null && before.state() == State.READY) {
          lost.put(key, before);
        }
      }
    }
    if (isSuspicious(lost.size(), readyBefore)) {
      retain(lost, readyBefore, now);
    }
    return changed;
  }

  private int readyCount() {
    return (int)
        registered.values().stream().filter(endpoint -> endpoint.state() == State.READY).count();
  }

  private static boolean isSuspicious(int lost, int readyBefore) {
    return lost >= MIN_SUSPICIOUS_LOSSES && lost >= SUSPICIOUS_SHARE * readyBefore;
  }

  private void retain(Map<String, EndpointRecord> lost, int readyBefore, Moment now) {
    int answering = 0;
    for (Map.Entry<String, EndpointRecord> entry : lost.entrySet()) {
      if (answersStill(entry.getValue(), now)) {
        retained.put(entry.getKey(), new RetainedHost(entry.getValue(), now));
        answering++;
      }
    }
    log.accept(
        lost.size()
            + " of "
            + readyBefore
            + " hosts left the registry without draining; "
            + answering
            + " that still answer are kept for up to "
            + MAX_RETENTION.micros() / MICROS_PER_SECOND
            + " s");
  }

  private boolean answersStill(EndpointRecord endpoint, Moment now) {
    Moment at = lastResponseAt.apply(endpoint.name());
    return at != null && !now.since(at).isLongerThan(MAX_SILENCE);
  }

  /**
   * Replaces the whole list. Keys that cannot be read must have been given to {@link
   * #markUnreadable} before, and do not count as deleted.
   *
   * @return whether the endpoint list has changed
   */
  public boolean replaceAll(Map<String, EndpointRecord> all, Moment now) {
    Map<String, EndpointRecord> changes = new TreeMap<>(all);
    for (String key : registered.keySet()) {
      if (!changes.containsKey(key) && !unreadableKeys.containsKey(key)) {
        changes.put(key, null);
      }
    }
    return applyChanges(changes, now);
  }

  /** Records that a key's value cannot be read: its last readable value stays in force. */
  public void markUnreadable(String key, String why) {
    if (!why.equals(unreadableKeys.put(key, why))) {
      log.accept(
          "key "
              + key
              + " can't be read ("
              + why
              + "); "
              + (registered.containsKey(key)
                  ? "its last readable value holds on"
                  : "it is ignored"));
    }
  }

  /**
   * Removes retained hosts that stopped answering or were retained for long enough.
   *
   * @return whether the endpoint list has changed
   */
  public boolean expireRetained(Moment now) {
    boolean changed = false;
    for (Iterator<RetainedHost> hosts = retained.values().iterator(); hosts.hasNext(); ) {
      RetainedHost host = hosts.next();
      boolean expired = now.since(host.since).isLongerThan(MAX_RETENTION);
      if (expired || !answersStill(host.endpoint, now)) {
        log.accept(
            "host "
                + host.endpoint.name()
                + ", lost by the registry, is removed: "
                + (expired ? "it was not registered again in time" : "it has stopped answering"));
        hosts.remove();
        changed = true;
      }
    }
    return changed;
  }

  /** Returns the names of retained hosts, in order, to be probed. */
  public List<String> retainedHosts() {
    return retained.values().stream().map(host -> host.endpoint.name()).sorted().toList();
  }

  /** Returns the endpoint list: registered and retained hosts, in the order of keys. */
  public List<EndpointRecord> endpoints() {
    TreeMap<String, EndpointRecord> all = new TreeMap<>();
    retained.forEach((key, host) -> all.put(key, host.endpoint));
    all.putAll(registered);
    return List.copyOf(all.values());
  }
}
