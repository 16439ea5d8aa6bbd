package flintlead.scheduling;

import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.api.Outcome;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Random event sequences on a small scripted fleet, which checks the five rules at every step. */
class SchedulerRulesTest {

  private static final Outcome[] OUTCOMES = Outcome.values();

  @Property(tries = 100, seed = "4711")
  void keepsTheRulesWhereAHostLoadsByItself(
      @ForAll @Size(min = 100, max = 500) List<@IntRange(min = 0, max = 999_999) Integer> steps) {
    runSteps(new ScriptedFleet(ScriptedFleet.deployment(true, false, 2), 5), steps);
  }

  @Property(tries = 100, seed = "4712")
  void keepsTheRulesWithHedging(
      @ForAll @Size(min = 100, max = 500) List<@IntRange(min = 0, max = 999_999) Integer> steps) {
    runSteps(new ScriptedFleet(ScriptedFleet.deployment(true, true, 3), 4), steps);
  }

  @Property(tries = 100, seed = "4713")
  void keepsTheRulesWhereOnlyLoadOrdersLoad(
      @ForAll @Size(min = 100, max = 500) List<@IntRange(min = 0, max = 999_999) Integer> steps) {
    runSteps(new ScriptedFleet(ScriptedFleet.deployment(false, true, 1), 5), steps);
  }

  /**
   * Hosts of three pools, some in two of them, that move between pools: the fleet checks that no
   * attempt leaves the pool of its invocation.
   */
  @Property(tries = 100, seed = "4714")
  void attemptsStayWithinTheirPool(
      @ForAll @Size(min = 100, max = 500) List<@IntRange(min = 0, max = 999_999) Integer> steps) {
    ScriptedFleet fleet =
        new ScriptedFleet(
            ScriptedFleet.deployment(steps.get(0) % 2 == 0, steps.get(0) % 3 == 0, 2), 6);
    for (long host : fleet.listed.keySet()) {
      fleet.pools.put(host, 1L << host % 3 | (host % 2 == 0 ? 1L << (host + 1) % 3 : 0));
    }
    List.copyOf(fleet.listed.values())
        .forEach(each -> fleet.updateHost(fleet.entry(each.host(), each.state(), 0)));
    runSteps(fleet, steps.subList(0, steps.size() / 2));
    fleet.pools.replaceAll(
        (host, bits) -> bits == 7 ? bits : Long.rotateLeft(bits, 1) & 7 | 1L << host % 3);
    List.copyOf(fleet.listed.values())
        .forEach(
            each ->
                fleet.updateHost(
                    fleet.entry(each.host(), each.state(), each.startedAt().micros())));
    runSteps(fleet, steps.subList(steps.size() / 2, steps.size()));
  }

  private static void runSteps(ScriptedFleet fleet, List<Integer> steps) {
    for (int step : steps) {
      int action = step % 20;
      int detail = step / 20;
      if (action < 7) {
        fleet.submit(detail % 4, detail / 4 % 6, 300 + detail % 3000);
      } else if (action < 12 && !fleet.inFlight.isEmpty()) {
        fleet.endAttempt(
            fleet.inFlight.get(detail % fleet.inFlight.size()), Outcome.OK, 1 + detail % 3);
      } else if (action < 14 && !fleet.inFlight.isEmpty()) {
        int remark = detail % 5 == 0 ? 4 : 0;
        fleet.endAttempt(
            fleet.inFlight.get(detail % fleet.inFlight.size()),
            OUTCOMES[1 + detail / 7 % 8],
            remark);
      } else if (action == 14 && !fleet.loadOrders.isEmpty()) {
        fleet.completeLoadOrder(detail % 3 == 0 ? Outcome.FULL : Outcome.OK);
      } else if (action == 15) {
        var hosts = new ArrayList<>(fleet.listed.keySet());
        HostEntry.State state = HostEntry.State.values()[detail % 3];
        long host = hosts.get(detail / 3 % hosts.size());
        boolean restarted = detail % 2 == 0 && state == HostEntry.State.READY;
        long start = restarted ? fleet.now().micros() : fleet.listed.get(host).startedAt().micros();
        fleet.updateHost(fleet.entry(host, state, start));
      } else if (action == 16 && !fleet.invocations.isEmpty() && detail % 4 == 0) {
        fleet.disconnectClient(fleet.invocations.get((long) (detail % fleet.invocations.size())));
      } else {
        fleet.advance(detail % 40 == 0 ? 1000 : detail % 60);
      }
    }
    fleet.advance(4000);
  }
}
