package flintlead.configuration.transaction;

import flintlead.configuration.transaction.ConfigurationVersion.HostDefinition;
import flintlead.routing.pool.LayoutTransition;
import flintlead.routing.pool.PoolRouter;
import flintlead.routing.pool.RouteRequest;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/**
 * Plans the steps from one version to another.
 *
 * <p>What only adds goes first, all at once: it takes nothing from anybody. Then the routes change
 * over, a bounded share of the functions in each step, while the hosts of both layouts are there.
 * Then hosts are drained, moved or removed, a bounded share of the ready ones in each step: so the
 * functions that lose their home meanwhile, each of which costs a load, are a bounded share too,
 * and a host that moved is ready again before others follow. Hosts of one zone go together as far
 * as they fit, as two zones that lack hosts at once leave idempotent invocations fewer hosts to go
 * to.
 */
public final class StagedSteps {

  /** Smallest share of a step; a smaller one would plan steps without end. */
  private static final double MIN_STEP = 1e-3;

  /** Keeps rounding errors from adding a step. */
  private static final double ROUNDING = 1e-9;

  private final ConfigurationVersion from;
  private final ConfigurationVersion to;
  private final double stepFraction;
  private final List<ConfigurationVersion> steps = new ArrayList<>();

  /** The hosts as of the last step. */
  private final TreeMap<String, HostDefinition> hosts;

  private StagedSteps(
      ConfigurationVersion from, ConfigurationVersion to, RollbackThresholds thresholds) {
    this.from = from;
    this.to = to;
    this.stepFraction = thresholds.stepFraction();
    this.hosts = new TreeMap<>(from.hosts());
  }

  /**
   * Returns the versions to go through, the last of them {@code to}; empty where nothing differs.
   */
  public static List<ConfigurationVersion> plan(
      ConfigurationVersion from, ConfigurationVersion to, RollbackThresholds thresholds) {
    StagedSteps plan = new StagedSteps(from, to, thresholds);
    plan.addHosts();
    plan.changeRoutes();
    plan.drainAndRemoveHosts();
    return plan.steps;
  }

  /** One step with everything that costs no host its functions. */
  private void addHosts() {
    for (HostDefinition host : to.hosts().values()) {
      if (!isCostly(host)) {
        hosts.put(host.name(), host);
      }
    }
    hosts.values().removeIf(host -> isRemoved(host) && host.draining());
    addStep(from.transition());
  }

  /** A host that is ready now loses its functions where it is drained or moved. */
  private boolean isCostly(HostDefinition host) {
    HostDefinition before = from.hosts().get(host.name());
    return before != null
        && !before.draining()
        && (host.draining() || !host.addresses().equals(before.addresses()));
  }

  private boolean isRemoved(HostDefinition host) {
    return !to.hosts().containsKey(host.name());
  }

  private void changeRoutes() {
    if (from.layout().equals(to.layout())) {
      return;
    }
    int parts = routeSteps(stepFraction);
    for (int part = 1; part <= parts; part++) {
      addStep(
          part == parts
              ? to.transition()
              : new LayoutTransition(from.layout(), to.layout(), (double) part / parts));
    }
  }

  private static int routeSteps(double stepFraction) {
    return (int) Math.ceil(1 / Math.max(stepFraction, MIN_STEP) - ROUNDING);
  }

  private void drainAndRemoveHosts() {
    List<HostDefinition> removed =
        from.hosts().values().stream().filter(host -> isRemoved(host) && !host.draining()).toList();
    List<HostDefinition> costly =
        new ArrayList<>(to.hosts().values().stream().filter(this::isCostly).toList());
    removed.forEach(host -> costly.add(host.withDraining()));
    costly.sort(Comparator.comparingInt(HostDefinition::zone).thenComparing(HostDefinition::name));
    long ready = Math.max(1, hosts.values().stream().filter(host -> !host.draining()).count());
    int perStep = (int) Math.max(1, Math.floor(ready * stepFraction));
    for (int at = 0; at < costly.size(); at += perStep) {
      costly
          .subList(at, Math.min(costly.size(), at + perStep))
          .forEach(host -> hosts.put(host.name(), host));
      addStep(to.transition());
    }
    removed.forEach(host -> hosts.remove(host.name()));
    addStep(to.transition());
  }

  private void addStep(LayoutTransition transition) {
    ConfigurationVersion next = new ConfigurationVersion(List.copyOf(hosts.values()), transition);
    ConfigurationVersion last = steps.isEmpty() ? from : steps.get(steps.size() - 1);
    if (!next.equals(last)) {
      steps.add(next);
    }
  }

  /**
   * Returns the largest share of functions that lose their home in one step, as the walk by hash
   * spreads them over the ready hosts.
   */
  public static double largestLostShare(
      ConfigurationVersion from, List<ConfigurationVersion> steps) {
    double worst = 0;
    ConfigurationVersion before = from;
    for (ConfigurationVersion step : steps) {
      worst = Math.max(worst, lostHosts(before, step) / Math.max(1, before.readyCount()));
      before = step;
    }
    return worst;
  }

  /** Returns the number of ready hosts that are drained, moved or removed. */
  private static double lostHosts(ConfigurationVersion before, ConfigurationVersion after) {
    return before.hosts().values().stream()
        .filter(
            host -> {
              HostDefinition now = after.hosts().get(host.name());
              return !host.draining()
                  && (now == null || now.draining() || !now.addresses().equals(host.addresses()));
            })
        .count();
  }

  /**
   * Shares of invocations that are routed to other hosts.
   *
   * @param total by the whole change
   * @param perStep by one step of it
   */
  public record ReroutedShare(double total, double perStep) {

    private static final ReroutedShare NONE = new ReroutedShare(0, 0);
  }

  /** Returns which shares of the sample's invocations a change of layout routes to other hosts. */
  public static ReroutedShare reroutedShare(
      ConfigurationVersion from,
      ConfigurationVersion to,
      RollbackThresholds thresholds,
      Collection<RouteRequest> sample) {
    if (from.layout().equals(to.layout())) {
      return ReroutedShare.NONE;
    }
    double total = PoolRouter.movedShare(from.layout(), to.layout(), sample);
    return new ReroutedShare(
        total, total / Math.ceil(1 / Math.max(thresholds.stepFraction(), MIN_STEP) - ROUNDING));
  }
}
