package flintlead.gateway;

import flintlead.gateway.upstream.ConnectionQuota;
import flintlead.gateway.upstream.HostLink;
import flintlead.gateway.upstream.HostSpec;
import flintlead.gateway.upstream.UpstreamContext;
import flintlead.time.Moment;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The links to all hosts: one for each host of the list, and those to hosts that have left it whose
 * requests have not ended yet.
 */
final class HostLinks implements ConnectionQuota {

  private final Map<Long, HostLink> listed = new TreeMap<>();
  private final Set<HostLink> retiring = new LinkedHashSet<>();

  /** The link to a host of the list; null if the list has none of that number. */
  HostLink find(long host) {
    return listed.get(host);
  }

  /** Adds a link for a host that has come to the list. */
  HostLink add(long host, HostSpec spec, UpstreamContext context, HostLink.Listener listener) {
    HostLink link = new HostLink(spec, context, listener);
    listed.put(host, link);
    return link;
  }

  /** How many hosts have a link, those that are about to be removed among them. */
  int size() {
    return listed.size();
  }

  boolean isEmpty() {
    return listed.isEmpty();
  }

  /** Removes and returns the links of hosts that are not to be kept, in the order of numbers. */
  Map<Long, HostLink> retireAllBut(Set<Long> kept) {
    Map<Long, HostLink> removed = new TreeMap<>(listed);
    removed.keySet().removeAll(kept);
    listed.keySet().retainAll(kept);
    retiring.addAll(removed.values());
    return removed;
  }

  @Override
  public int totalConnections() {
    int total = 0;
    for (HostLink link : listed.values()) {
      total += link.connections();
    }
    for (HostLink link : retiring) {
      total += link.connections();
    }
    return total;
  }

  @Override
  public void closeLongestIdle() {
    HostLink longest = null;
    for (HostLink link : listed.values()) {
      Moment since = link.idleSince();
      if (since != null && (longest == null || since.isBefore(longest.idleSince()))) {
        longest = link;
      }
    }
    if (longest != null) {
      longest.closeLongestIdle();
    }
  }

  /** Looks for stuck and idle connections to the hosts of the list. */
  void checkListed(Moment now) {
    listed.values().forEach(link -> link.check(now));
  }

  /** Forgets retiring links that have ended, and checks the others. */
  void checkRetiring(Moment now) {
    retiring.removeIf(HostLink::isIdle);
    retiring.forEach(link -> link.check(now));
  }

  boolean hasRetiring() {
    return !retiring.isEmpty();
  }

  /** Drops every connection at once. */
  void close() {
    List<HostLink> all = new ArrayList<>(listed.values());
    all.addAll(retiring);
    all.forEach(HostLink::close);
  }
}
