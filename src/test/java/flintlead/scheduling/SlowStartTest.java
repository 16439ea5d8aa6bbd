package flintlead.scheduling;

import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Rule 4 over a whole fleet: a host that has just started must not be overloaded by the sum of many
 * gateways, each of which sees little of the traffic. Some gateways see several times the mean, and
 * some have just started themselves.
 */
class SlowStartTest {

  private static final int HOSTS = 6;

  /**
   * So many that hardly any function is invoked twice: no function is bound to a warm host, and all
   * hash walks pass the starting one.
   */
  private static final int FUNCTIONS = 1_000_000;

  private static final double RATE = 500;

  /** The invocation rate as a share of the capacity of all hosts. */
  private static final double LOAD = 0.6;

  private static final double STEP_MS = 50;
  private static final double ANSWER_MS = 100;

  @ParameterizedTest(name = "{0} gateways, a starting host of weight {1} among hosts of weight {2}")
  @CsvSource({"20,1,1", "30,1,1", "100,1,1", "20,1,6", "30,1,6", "100,1,6", "30,6,1"})
  void startingHostIsNotOverloadedByAllGatewaysTogether(
      int gateways, double startingWeight, double otherWeight) {
    Deployment deployment = ScriptedFleet.deployment(true, true, gateways);
    Random random = new Random(11);
    List<ScriptedFleet> fleets = new ArrayList<>();
    double[] trafficWeights = new double[gateways];
    double totalWeight = 0;
    for (int i = 0; i < gateways; i++) {
      trafficWeights[i] = i % 5 == 0 ? 4 : 1;
      totalWeight += trafficWeights[i];
      fleets.add(fleet(deployment, startingWeight, otherWeight));
    }
    double totalHostWeight = startingWeight + otherWeight * (HOSTS - 1);
    double capacity = RATE / LOAD * startingWeight / totalHostWeight;
    Deque<Double> sent = new ArrayDeque<>();
    double startMillis = 20_000;
    double windowMillis = deployment.overloadWindow().micros() / 1e3;
    double slowStartMillis = deployment.slowStartDuration().micros() / 1e3;
    for (double atMillis = 0; atMillis < startMillis + slowStartMillis; atMillis += STEP_MS) {
      if (atMillis == startMillis) {
        for (int i = 0; i < gateways; i++) {
          // Every seventh gateway starts with its client's first invocation, and learns of the
          // host from its initial host list.
          if (i % 7 == 0) {
            fleets.set(i, fleet(deployment, startingWeight, otherWeight, fleets.get(i).now()));
          }
          ScriptedFleet fleet = fleets.get(i);
          fleet.updateHost(
              new HostEntry(100, 0, 0, 0, HostEntry.State.READY, fleet.now(), startingWeight));
        }
      }
      for (int i = 0; i < gateways; i++) {
        ScriptedFleet fleet = fleets.get(i);
        double due = RATE * trafficWeights[i] / totalWeight * STEP_MS / 1e3;
        for (int n = (int) due + (random.nextDouble() < due - (int) due ? 1 : 0); n > 0; n--) {
          fleet.submit(ScriptedFleet.IDEMPOTENT, random.nextInt(FUNCTIONS), 2000);
        }
        for (ScriptedFleet.SentAttempt attempt : List.copyOf(fleet.inFlight)) {
          if (fleet.now().since(attempt.sentAt).micros() >= ANSWER_MS * 1e3) {
            fleet.endAttempt(attempt, Outcome.OK);
          }
        }
        fleet.advance(STEP_MS);
        if (atMillis >= startMillis) {
          for (ScriptedFleet.SentAttempt attempt : fleet.inFlight) {
            if (attempt.host == 100
                && fleet.now().since(attempt.sentAt).micros() <= STEP_MS * 1e3) {
              sent.add(atMillis);
            }
          }
        }
        fleet.removeAnswered();
      }
      while (!sent.isEmpty() && sent.peek() <= atMillis - windowMillis) {
        sent.poll();
      }
      double capacityFraction =
          deployment.slowStartFraction()
              + (1 - deployment.slowStartFraction())
                  * Math.max(0, atMillis - startMillis)
                  / slowStartMillis;
      double allowed =
          deployment.overloadFactor() * capacityFraction * capacity * windowMillis / 1e3;
      double limit = allowed + 2 * Math.sqrt(allowed) + 2;
      assertTrue(
          atMillis < startMillis || sent.size() <= limit,
          sent.size()
              + " attempts within the window, at most "
              + limit
              + " allowed, "
              + (atMillis - startMillis)
              + " ms after the start");
    }
  }

  private static ScriptedFleet fleet(
      Deployment deployment, double startingWeight, double otherWeight) {
    return fleet(deployment, startingWeight, otherWeight, new Moment(1_000_000_000));
  }

  private static ScriptedFleet fleet(
      Deployment deployment, double startingWeight, double otherWeight, Moment now) {
    ScriptedFleet fleet = new ScriptedFleet(deployment, 0, now);
    for (int host = 0; host < HOSTS; host++) {
      fleet.updateHost(
          new HostEntry(
              100 + host,
              0,
              0,
              0,
              HostEntry.State.READY,
              new Moment(0),
              host == 0 ? startingWeight : otherWeight));
    }
    return fleet;
  }
}
