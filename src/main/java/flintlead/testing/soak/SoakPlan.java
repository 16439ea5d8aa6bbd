package flintlead.testing.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Everything that a seed decides: the settings and the schedule of faults.
 *
 * @param seed the seed
 * @param gateways how many gateway processes
 * @param hosts how many hosts
 * @param clientsPerGateway client connections at each gateway
 * @param deadlines of the trigger types, in milliseconds
 * @param trafficMillis how long requests are sent
 * @param syscallFaultEvery each so many-th system call of some kinds fails; 0 for none
 * @param faults in the order in which they begin
 */
public record SoakPlan(
    long seed,
    int gateways,
    int hosts,
    int clientsPerGateway,
    List<Integer> deadlines,
    int trafficMillis,
    int syscallFaultEvery,
    List<PlannedFault> faults) {

  private static final int[] DEADLINES = {150, 250, 400, 700, 1_360, 2_500};
  private static final int MEAN_MILLIS_BETWEEN_FAULTS = 180;
  private static final int MAX_DEADLINE_COUNTED = 3_000;
  private static final int KILL_GRACE_MILLIS = 700;

  /** Draws the plan of a seed. */
  public static SoakPlan draw(long seed, int minGateways, int maxGateways, int trafficMillis) {
    Random random = new Random(seed * 0x9E3779B97F4A7C15L);
    int gateways = minGateways + random.nextInt(maxGateways - minGateways + 1);
    int hosts = 4 + random.nextInt(8);
    List<Integer> deadlines = new ArrayList<>();
    for (int i = 0; i < TriggerKind.values().length; i++) {
      deadlines.add(DEADLINES[random.nextInt(DEADLINES.length)]);
    }
    int clients = 3 + random.nextInt(6);
    int syscallFaultEvery = random.nextInt(3) == 0 ? 17 + random.nextInt(30) : 0;
    List<PlannedFault> faults = new ArrayList<>();
    for (int at = 300;
        at < trafficMillis;
        at += 1 + random.nextInt(2 * MEAN_MILLIS_BETWEEN_FAULTS)) {
      faults.add(drawFault(random, at, gateways, hosts));
    }
    faults.sort(Comparator.comparingLong(PlannedFault::atMillis));
    return new SoakPlan(
        seed, gateways, hosts, clients, deadlines, trafficMillis, syscallFaultEvery, faults);
  }

  private static PlannedFault drawFault(Random random, int at, int gateways, int hosts) {
    int total = 0;
    for (FaultKind kind : FaultKind.values()) {
      total += kind.weight();
    }
    int drawn = random.nextInt(total);
    FaultKind chosen = null;
    for (FaultKind kind : FaultKind.values()) {
      drawn -= kind.weight();
      if (drawn < 0 && chosen == null) {
        chosen = kind;
      }
    }
    int length = chosen.minMillis() + random.nextInt(chosen.maxMillis() - chosen.minMillis() + 1);
    int target =
        switch (chosen.target()) {
          case GATEWAY -> random.nextInt(gateways);
          case HOST -> random.nextInt(hosts);
          default -> 0;
        };
    return new PlannedFault(at, length, chosen, target);
  }

  /** How long after SIGTERM the platform may send SIGKILL. */
  public int killAfterMillis() {
    int longest = deadlines.stream().mapToInt(Integer::intValue).max().orElseThrow();
    return Math.min(longest, MAX_DEADLINE_COUNTED) + KILL_GRACE_MILLIS;
  }

  /** The same plan with only these faults. */
  public SoakPlan withFaults(List<PlannedFault> some) {
    return new SoakPlan(
        seed,
        gateways,
        hosts,
        clientsPerGateway,
        deadlines,
        trafficMillis,
        syscallFaultEvery,
        some);
  }

  /** The plan, a fault a line. */
  public String describe() {
    StringBuilder text = new StringBuilder();
    text.append("seed ").append(seed).append(": ").append(gateways).append(" gateways, ");
    text.append(hosts).append(" hosts, ").append(clientsPerGateway).append(" clients each, ");
    text.append("deadlines ").append(deadlines).append(" ms, system calls failing every ");
    text.append(syscallFaultEvery).append('\n');
    faults.forEach(fault -> text.append("  ").append(fault).append('\n'));
    return text.toString();
  }
}
