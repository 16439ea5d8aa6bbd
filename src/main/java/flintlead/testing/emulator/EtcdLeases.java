package flintlead.testing.emulator;

import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The leases of an emulated etcd, and the keys that are bound to each. On the registry's loop. */
final class EtcdLeases {

  private static final class Lease {
    final Span timeToLive;
    final Set<String> keys = new HashSet<>();
    Moment expiresAt;

    Lease(Span timeToLive, Moment now) {
      this.timeToLive = timeToLive;
      this.expiresAt = now.plus(timeToLive);
    }
  }

  private final EventExecutor loop;
  private final Map<Long, Lease> leases = new HashMap<>();
  private long nextId = 1;

  EtcdLeases(EventExecutor loop) {
    this.loop = loop;
  }

  /** Grants a lease and returns its id. */
  long grant(Span timeToLive) {
    leases.put(nextId, new Lease(timeToLive, loop.now()));
    return nextId++;
  }

  /** Renews a lease and returns its time to live; zero for an unknown one. */
  Span renew(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return Span.ZERO;
    }
    lease.expiresAt = loop.now().plus(lease.timeToLive);
    return lease.timeToLive;
  }

  boolean exists(long id) {
    return leases.containsKey(id);
  }

  /** Binds a key to a lease that exists. */
  void bind(long id, String key) {
    leases.get(id).keys.add(key);
  }

  void clear() {
    leases.clear();
  }

  /** Removes the leases that have expired and returns the keys of each, by its id. */
  Map<Long, Set<String>> removeExpired() {
    Map<Long, Set<String>> expired = new LinkedHashMap<>();
    for (Map.Entry<Long, Lease> entry : new ArrayList<>(leases.entrySet())) {
      if (loop.now().isAfter(entry.getValue().expiresAt)) {
        leases.remove(entry.getKey());
        expired.put(entry.getKey(), entry.getValue().keys);
      }
    }
    return expired;
  }
}
