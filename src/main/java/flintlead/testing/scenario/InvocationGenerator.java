package flintlead.testing.scenario;

import flintlead.gateway.GatewayConfig;
import flintlead.testing.arrivals.ArrivalProcess;
import flintlead.testing.arrivals.WorkModel;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import org.apache.commons.statistics.distribution.DiscreteDistribution;
import org.apache.commons.statistics.distribution.ZipfDistribution;

/**
 * Draws the invocations of a scenario. Its randomness depends on nothing that gateways do, so that
 * two programs meet the same traffic. On the client loop.
 */
final class InvocationGenerator {

  private static final double POPULARITY_EXPONENT = 1;

  private final RunContext context;
  private final Random random;
  private final ArrivalProcess arrivals;
  private final WorkModel.WorkSampler work;
  private final DiscreteDistribution.Sampler popularity;

  /** Traffic as a multiple of the usual. */
  private double rateFactor = 1;

  /** Share of the invocations that are for functions invoked only once. */
  private double oneOffShare;

  /** Share of the invocations whose clients give them little time. */
  private double shortDeadlineShare;

  private long count;

  InvocationGenerator(RunContext context) throws IOException {
    this.context = context;
    this.random = new Random(context.seed + 1);
    this.arrivals =
        context.scenario.traffic().start(context.scenario.invocationsPerSecond(), random);
    this.work = context.scenario.work().sampler(context.seed, random);
    this.popularity =
        ZipfDistribution.of(context.scenario.functions(), POPULARITY_EXPONENT)
            .createSampler(random::nextLong);
  }

  void setRateFactor(double factor) {
    rateFactor = factor;
  }

  void setOneOffShare(double share) {
    oneOffShare = share;
  }

  void setShortDeadlineShare(double share) {
    shortDeadlineShare = share;
  }

  /** Chance that belongs to the clients, for faults that select among them. */
  boolean draw(double probability) {
    return random.nextDouble() < probability;
  }

  /** The next arrival, relative to the beginning of the traffic; null after the last. */
  ArrivalProcess.Arrival nextArrival() {
    return arrivals.next(rateFactor);
  }

  /** Draws what is left to chance in an invocation, with the same number of draws for each. */
  PlannedInvocation draw(ArrivalProcess.Arrival arrival, Moment now) {
    boolean oneOff = random.nextDouble() < oneOffShare;
    int popularRank = popularity.sample();
    boolean shortDeadline = random.nextDouble() < shortDeadlineShare;
    boolean cancels = random.nextBoolean();
    int rank = arrival.function();
    if (rank < 0) {
      rank = oneOff ? context.scenario.functions() + (int) count : popularRank;
    }
    double sampledWorkMs = work.sample(rank);
    List<GatewayConfig.Trigger> triggers = context.scenario.gatewayConfig().triggerTypes();
    GatewayConfig.Trigger trigger = triggers.get(rank % triggers.size());
    Span elapsed = now.since(context.startedAt());
    return new PlannedInvocation(
        "fn-" + trigger.name() + "-" + rank,
        trigger,
        "t" + count++,
        arrival.workMs() > 0 ? arrival.workMs() : sampledWorkMs,
        now,
        shortDeadline,
        cancels,
        !elapsed.isShorterThan(context.scenario.warmUp()));
  }

  /** Invocations drawn so far. */
  long count() {
    return count;
  }
}
