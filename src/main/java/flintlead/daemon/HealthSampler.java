package flintlead.daemon;

import flintlead.configuration.transaction.HealthSample;
import flintlead.gateway.CountersSnapshot;
import flintlead.gateway.InvocationHandler;
import flintlead.gateway.upstream.HostSpec;
import flintlead.routing.pool.Layout;
import flintlead.routing.pool.Pool;
import flintlead.routing.pool.PoolSnapshot;
import flintlead.scheduling.api.HostEntry;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Takes samples of a gateway's health, and probes its hosts meanwhile. Used on the gateway's loop.
 */
final class HealthSampler {

  /** Most hosts that are probed for one sample. */
  private static final int MAX_PROBES = 64;

  private final InvocationHandler gateway;
  private final Supplier<CountersSnapshot> counters;
  private final Span maxSilence;

  /** Probes sent so far; the next one goes to the host after the last. */
  private int probes;

  /**
   * Creates a sampler.
   *
   * @param maxSilence a host whose last response is older does not count as alive
   */
  HealthSampler(InvocationHandler gateway, Supplier<CountersSnapshot> counters, Span maxSilence) {
    this.gateway = gateway;
    this.counters = counters;
    this.maxSilence = maxSilence;
  }

  /** Returns a sample of the gateway's health with these hosts and this layout. */
  HealthSample sample(Collection<HostSpec> hosts, Layout layout) {
    CountersSnapshot counted = counters.get();
    List<HostSpec> ready =
        hosts.stream().filter(host -> host.state() == HostEntry.State.READY).toList();
    Set<String> alive = alive(ready);
    probe(ready);
    return new HealthSample(
        counted.succeeded(),
        counted.throttled() + counted.errored(),
        !alive.isEmpty(),
        pools(ready, alive, layout));
  }

  private Set<String> alive(List<HostSpec> ready) {
    Moment since = gateway.loop().now().minus(maxSilence);
    Set<String> alive = new HashSet<>();
    for (HostSpec host : ready) {
      Moment at = gateway.lastHeardAt(host.name());
      if (at != null && at.isAfter(since)) {
        alive.add(host.name());
      }
    }
    return alive;
  }

  /** Probes the hosts in turn, so that each of many is probed at last. */
  private void probe(List<HostSpec> ready) {
    for (int i = 0; i < Math.min(MAX_PROBES, ready.size()); i++) {
      gateway.probe(ready.get(probes++ % ready.size()).name());
    }
  }

  private Map<String, HealthSample> pools(List<HostSpec> ready, Set<String> alive, Layout layout) {
    if (layout.equals(Layout.DEFAULT)) {
      return Map.of();
    }
    Map<String, PoolSnapshot> snapshots = new HashMap<>();
    gateway.pools().forEach(pool -> snapshots.put(pool.name(), pool));
    Map<String, HealthSample> pools = new HashMap<>();
    for (String name : layout.usedPools()) {
      Pool pool = layout.pool(name);
      PoolSnapshot snapshot = snapshots.get(name);
      boolean anyAlive =
          ready.stream()
              .anyMatch(
                  host ->
                      alive.contains(host.name())
                          && pool.selector().matches(host.name(), host.zone(), host.kind()));
      pools.put(
          name,
          new HealthSample(
              snapshot == null ? 0 : snapshot.succeeded(),
              snapshot == null ? 0 : snapshot.failed(),
              anyAlive));
    }
    return pools;
  }
}
