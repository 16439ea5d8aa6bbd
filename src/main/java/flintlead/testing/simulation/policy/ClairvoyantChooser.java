package flintlead.testing.simulation.policy;

import flintlead.scheduling.api.InvocationSpec;
import flintlead.testing.emulator.HostObservation;
import flintlead.testing.scenario.HostObserver;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Chooses the host where the invocation would be completed soonest, by the state of all hosts and
 * what all gateways have sent. It sees everything and plans nothing: a reference for what knowledge
 * of the present can achieve, no bound for what could be done with knowledge of the future. It
 * respects the budget of cold hosts and holds what fits nowhere. One for all gateways of a run.
 */
final class ClairvoyantChooser implements HostChooser {

  /** Assumed for an invocation, as nobody reports its work. */
  private static final double ASSUMED_WORK_MS = 20;

  /** A cold host is avoided while its budget is below this multiple of an invocation's work. */
  private static final double MIN_BUDGET_MULTIPLE = 2;

  /** A load costs others too: the store's time, and the memory of idle instances. */
  private static final double LOAD_COST_MULTIPLE = 1.5;

  private record HostAndFunction(long host, long function) {}

  private final HostObserver observer;

  /** Outstanding attempts of all gateways. */
  private final Map<Long, Integer> inFlight = new HashMap<>();

  private final Map<HostAndFunction, Integer> inFlightOfFunction = new HashMap<>();

  ClairvoyantChooser(HostObserver observer) {
    this.observer = observer;
  }

  @Override
  public void sent(InvocationSpec call, KnownHost host) {
    inFlight.merge(host.number, 1, Integer::sum);
    inFlightOfFunction.merge(new HostAndFunction(host.number, call.function()), 1, Integer::sum);
  }

  @Override
  public void back(InvocationSpec call, KnownHost host) {
    inFlight.merge(host.number, -1, Integer::sum);
    inFlightOfFunction.merge(
        new HostAndFunction(host.number, call.function()),
        -1,
        (count, change) -> count + change == 0 ? null : count + change);
  }

  @Override
  public KnownHost of(InvocationSpec call, List<KnownHost> candidates, Random random) {
    KnownHost best = null;
    double soonest = Double.POSITIVE_INFINITY;
    for (KnownHost host : candidates) {
      double millis = completionMs(call, host);
      if (millis < soonest) {
        soonest = millis;
        best = host;
      }
    }
    return best;
  }

  /** Milliseconds until completion; infinite where the invocation should not go. */
  private double completionMs(InvocationSpec call, KnownHost host) {
    HostObservation state = observer.observe(host.number, call.function());
    if (state == null
        || !state.available()
        || state.coldBudgetMs() < MIN_BUDGET_MULTIPLE * ASSUMED_WORK_MS) {
      return Double.POSITIVE_INFINITY;
    }
    int onHost = inFlight.getOrDefault(host.number, 0);
    int ofFunction =
        inFlightOfFunction.getOrDefault(new HostAndFunction(host.number, call.function()), 0);
    double runMs =
        ASSUMED_WORK_MS / state.coreSpeed() * Math.max(1, (onHost + 1.0) / state.cores());
    if (ofFunction < state.slots()) {
      return runMs;
    }
    double loadMs = call.loadHint().micros() / 1000.0 * LOAD_COST_MULTIPLE;
    if (state.slots() > 0) {
      return runMs + Math.min(loadMs, runMs * (ofFunction + 1 - state.slots()) / state.slots());
    }
    if (state.loadingInstances() > 0 || state.memoryAvailable()) {
      return loadMs + runMs * (1 + ofFunction / Math.max(1, call.slotsPerInstance()));
    }
    return Double.POSITIVE_INFINITY;
  }
}
