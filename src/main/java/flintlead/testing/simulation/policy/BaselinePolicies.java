package flintlead.testing.simulation.policy;

import flintlead.scheduling.Scheduler;
import flintlead.scheduling.api.InvocationSpec;
import flintlead.scheduling.api.SchedulingPolicyFactory;
import flintlead.testing.scenario.HostObserver;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.Function;

/** The scheduling policies that can be compared, by name. */
public final class BaselinePolicies {

  /** The names, as the command line and scenario files have them. */
  public static final List<String> NAMES =
      List.of("control", "random", "round-robin", "least-in-flight", "hash", "clairvoyant");

  private BaselinePolicies() {}

  /**
   * The policy of a name.
   *
   * @param observer for the policy that sees all hosts
   * @throws IllegalArgumentException when there is none of that name
   */
  public static SchedulingPolicyFactory of(String name, HostObserver observer) {
    return switch (name) {
      case "control" -> Scheduler::new;
      case "random" -> baseline(seed -> BaselinePolicies::random);
      case "round-robin" -> baseline(seed -> roundRobin(new Random(seed)));
      case "least-in-flight" -> baseline(seed -> BaselinePolicies::leastInFlight);
      case "hash" -> baseline(seed -> BaselinePolicies::rendezvousHash);
      case "clairvoyant" -> {
        ClairvoyantChooser shared = new ClairvoyantChooser(observer);
        yield baseline(seed -> shared);
      }
      default ->
          throw new IllegalArgumentException("policy: no '" + name + "'; write one of " + NAMES);
    };
  }

  /**
   * @param chooser gives each gateway its chooser, by the gateway's seed
   */
  private static SchedulingPolicyFactory baseline(Function<Long, HostChooser> chooser) {
    return (gateway, deployment, seed) ->
        new BaselinePolicy(gateway, deployment, chooser.apply(seed), new Random(seed));
  }

  private static KnownHost random(InvocationSpec call, List<KnownHost> candidates, Random random) {
    return candidates.get(random.nextInt(candidates.size()));
  }

  /** Each gateway begins at a host of its own. */
  private static HostChooser roundRobin(Random random) {
    long[] last = {random.nextLong()};
    return (call, candidates, any) -> {
      KnownHost next =
          candidates.stream()
              .filter(host -> host.number > last[0])
              .findFirst()
              .orElse(candidates.get(0));
      last[0] = next.number;
      return next;
    };
  }

  private static KnownHost leastInFlight(
      InvocationSpec call, List<KnownHost> candidates, Random random) {
    int least = candidates.stream().mapToInt(host -> host.inFlight).min().orElseThrow();
    List<KnownHost> best = candidates.stream().filter(host -> host.inFlight == least).toList();
    return best.get(random.nextInt(best.size()));
  }

  /**
   * The host with the highest score of host and function (rendezvous hashing; Thaler and
   * Ravishankar, 1998).
   */
  private static KnownHost rendezvousHash(
      InvocationSpec call, List<KnownHost> candidates, Random random) {
    return candidates.stream()
        .max(Comparator.comparingLong(host -> score(host.number, call.function())))
        .orElseThrow();
  }

  private static long score(long host, long function) {
    long mixed = (host ^ Long.rotateLeft(function, 32)) * 0x9e3779b97f4a7c15L;
    mixed = (mixed ^ mixed >>> 32) * 0xd6e8feb86659fd93L;
    return mixed ^ mixed >>> 32;
  }
}
