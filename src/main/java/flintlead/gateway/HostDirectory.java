package flintlead.gateway;

import flintlead.gateway.upstream.HostLink;
import flintlead.gateway.upstream.HostSpec;
import flintlead.gateway.upstream.UpstreamContext;
import flintlead.ids.NameHash;
import flintlead.routing.pool.Layout;
import flintlead.routing.pool.LayoutTransition;
import flintlead.routing.pool.PoolRouter;
import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.api.SchedulingPolicy;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.slf4j.Logger;

/**
 * The hosts of one gateway: takes the list, and tells the scheduler, the router and the links of
 * every change, in that one event. Used on the gateway's event loop only.
 */
final class HostDirectory implements HostLink.Listener {

  private final EventTimers timers;
  private final HostLinks links;
  private final UpstreamContext upstream;
  private final HostStates states;
  private final PoolRouter router;
  private final SchedulingPolicy scheduler;
  private final PeerObservations observations;
  private final Span drainGrace;
  private final Logger log;

  /** The list as it was last given. */
  private Map<Long, HostSpec> listed = Map.of();

  HostDirectory(
      GatewayConfig.SchedulingRules rules,
      EventTimers timers,
      HostLinks links,
      UpstreamContext upstream,
      PoolRouter router,
      SchedulingPolicy scheduler,
      PeerObservations observations) {
    this.timers = timers;
    this.links = links;
    this.upstream = upstream;
    this.states = new HostStates(rules.slowStartDuration());
    this.router = router;
    this.scheduler = scheduler;
    this.observations = observations;
    this.drainGrace = rules.drainGrace();
    this.log = upstream.log();
  }

  /**
   * The list by host number.
   *
   * @throws IllegalArgumentException if two names have one number, or one stands twice
   */
  static Map<Long, HostSpec> byNumber(List<HostSpec> list) {
    Map<Long, HostSpec> byNumber = new TreeMap<>();
    for (HostSpec spec : list) {
      HostSpec other = byNumber.put(NameHash.host(spec.name()), spec);
      if (other != null) {
        throw new IllegalArgumentException(
            other.name().equals(spec.name())
                ? "host '" + spec.name() + "' stands twice in the list"
                : "hosts '"
                    + other.name()
                    + "' and '"
                    + spec.name()
                    + "' have the same number; rename one");
      }
    }
    return byNumber;
  }

  /** When a host last answered anything; null if it never did or is not in the list. */
  Moment heardAt(String host) {
    HostLink link = links.find(NameHash.host(host));
    return link == null ? null : link.heardAt();
  }

  // ---- the list ----

  /**
   * Routes invocations by the layouts and replaces the list, in this one event. Invocations that
   * were accepted before stay in their pools.
   *
   * @param list null for the hosts as they are
   * @return what stands in the way; empty if it is done
   */
  List<String> applyLayouts(LayoutTransition layouts, Map<Long, HostSpec> list) {
    List<String> problems = router.applyTransition(layouts, timers.now());
    if (problems.isEmpty()) {
      router.pollMembershipChanged();
      replaceHosts(list == null ? listed : list);
    }
    return problems;
  }

  /** Takes the list as it is again: hosts may belong to other pools now. */
  void refreshPools() {
    replaceHosts(listed);
  }

  /** Replaces the whole list. */
  void replaceHosts(Map<Long, HostSpec> list) {
    if (timers.isClosed()) {
      return;
    }
    listed = list;
    List<HostEntry> entries = new ArrayList<>();
    List<HostEntry> changed = new ArrayList<>();
    list.forEach(
        (number, spec) -> {
          updateHost(number, spec).ifPresent(changed::add);
          entries.add(states.find(number));
        });
    updateRouter();
    // The scheduler first: nothing new may be under way when links of hosts that left are closed.
    if (links.size() > list.size()) {
      scheduler.replaceHosts(entries);
    } else if (!changed.isEmpty()) {
      scheduler.updateHosts(changed);
    }
    if (!links.isEmpty()) {
      observations.deliverEarly(scheduler);
    }
    if (links.size() > list.size()) {
      retireAbsent(list);
    }
  }

  /** Takes one line of the list; returns the host's entry if that changed. */
  private Optional<HostEntry> updateHost(long number, HostSpec spec) {
    HostLink link = links.find(number);
    long pools = router.poolMask(spec.name(), spec.zone(), spec.kind());
    if (link != null && link.spec().equals(spec)) {
      // A large list is given whole at each change of one host: the others cost nothing more.
      return states.updatePools(number, pools);
    }
    if (link == null) {
      link = links.add(number, spec, upstream, this);
    } else {
      link.spec(spec);
    }
    HostEntry before = states.find(number);
    HostEntry entry = states.update(number, spec, pools);
    boolean wasReady = before == null || before.state() == HostEntry.State.READY;
    if (entry.state() != HostEntry.State.READY && wasReady) {
      recallAfterGrace(link);
    }
    return Optional.of(entry);
  }

  private void retireAbsent(Map<Long, HostSpec> list) {
    links
        .retireAllBut(list.keySet())
        .forEach(
            (number, link) -> {
              states.remove(number);
              recallAfterGrace(link);
              timers.loop().scheduleAt(timers.now(), link::retire);
            });
  }

  /** Rule 3: past the grace nothing reaches the host, not even what left before and is late. */
  private void recallAfterGrace(HostLink link) {
    timers.at(timers.now().plus(drainGrace), link::recallAll);
  }

  private void updateRouter() {
    List<Layout.HostDescriptor> hosts = new ArrayList<>();
    listed.forEach(
        (number, spec) ->
            hosts.add(
                new Layout.HostDescriptor(
                    spec.name(),
                    spec.zone(),
                    spec.kind(),
                    states.find(number).state() == HostEntry.State.READY)));
    router.updateHosts(hosts);
  }

  private void entryChanged(HostEntry entry) {
    updateRouter();
    scheduler.updateHosts(List.of(entry));
  }

  // ---- what hosts announce ----

  @Override
  public void hostGreeted(HostLink link, String processStart, Span processAge) {
    long number = NameHash.host(link.spec().name());
    if (links.find(number) != link) {
      return;
    }
    Moment startedAt = timers.now().minus(processAge);
    states
        .greeted(number, processStart, link.spec().state(), startedAt, timers.now())
        .ifPresent(
            entry -> {
              log.atInfo()
                  .addKeyValue("host", link.spec().name())
                  .addKeyValue("ageMs", processAge.micros() / 1000)
                  .log("host_restarted");
              entryChanged(entry);
            });
  }

  @Override
  public void hostDraining(HostLink link) {
    long number = NameHash.host(link.spec().name());
    if (links.find(number) != link) {
      return;
    }
    states
        .announcedDraining(number)
        .ifPresent(
            entry -> {
              log.atInfo().addKeyValue("host", link.spec().name()).log("host_draining");
              recallAfterGrace(link);
              entryChanged(entry);
            });
  }
}
