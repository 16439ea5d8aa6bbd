package flintlead.platform;

import flintlead.platform.journal.HostEventProcessor;
import flintlead.platform.upstream.ConnectionPools;
import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.api.SchedulingPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;

/**
 * Applies changes of the host list to the connection pools first and then to the scheduler. Used on
 * the event loop only.
 */
final class HostListUpdater implements HostEventProcessor.Listener {

  private final ConnectionPools pools;
  private final SchedulingPolicy scheduler;
  private final Logger log;
  private final Set<Long> listed = new TreeSet<>();

  /**
   * Creates an updater of an empty list.
   *
   * @param log receives {@code hosts_ignored}
   */
  HostListUpdater(ConnectionPools pools, SchedulingPolicy scheduler, Logger log) {
    this.pools = pools;
    this.scheduler = scheduler;
    this.log = log;
  }

  @Override
  public void hostsReplaced(List<HostEventProcessor.ListedHost> hosts) {
    List<HostEntry> entries = new ArrayList<>();
    Set<Long> missing = new TreeSet<>(listed);
    for (HostEventProcessor.ListedHost host : hosts) {
      entries.add(host.entry());
      missing.remove(host.entry().host());
      update(host);
    }
    missing.forEach(this::remove);
    scheduler.replaceHosts(entries);
  }

  @Override
  public void hostsUpdated(List<HostEventProcessor.ListedHost> hosts) {
    hosts.forEach(this::update);
    scheduler.updateHosts(hosts.stream().map(HostEventProcessor.ListedHost::entry).toList());
  }

  @Override
  public void hostsIgnored(int count, int maxHosts) {
    log.atWarn().addKeyValue("count", count).addKeyValue("limit", maxHosts).log("hosts_ignored");
  }

  private void update(HostEventProcessor.ListedHost host) {
    HostEntry entry = host.entry();
    if (entry.state() == HostEntry.State.GONE) {
      remove(entry.host());
      return;
    }
    listed.add(entry.host());
    pools.update(
        entry.host(),
        host.name(),
        host.address(),
        entry.startedAt(),
        entry.state() == HostEntry.State.DRAINING);
  }

  private void remove(long host) {
    listed.remove(host);
    pools.remove(host);
  }
}
