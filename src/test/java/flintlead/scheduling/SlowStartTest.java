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
  void aColdHostHoldsUnderTheSumOfAllGateways(int gateways, double cold, double others) {
    Deployment facts = ScriptedFleet.facts(true, true, gateways);
    Random random = new Random(11);
    List<ScriptedFleet> fleets = new ArrayList<>();
    double[] part = new double[gateways];
    double parts = 0;
    for (int i = 0; i < gateways; i++) {
      part[i] = i % 5 == 0 ? 4 : 1;
      parts += part[i];
      fleets.add(fleet(facts, cold, others));
    }
    double all = cold + others * (HOSTS - 1);
    double capacity = RATE / LOAD * cold / all;
    Deque<Double> sent = new ArrayDeque<>();
    double startedAt = 20_000;
    double window = facts.overloadWindow().micros() / 1e3;
    double warm = facts.slowStartDuration().micros() / 1e3;
    for (double at = 0; at < startedAt + warm; at += STEP_MS) {
      if (at == startedAt) {
        for (int i = 0; i < gateways; i++) {
          // Every seventh gateway starts with its client's first invocation, and learns of the
          // host from its initial host list.
          if (i % 7 == 0) {
            fleets.set(i, fleet(facts, cold, others, fleets.get(i).now()));
          }
          ScriptedFleet fleet = fleets.get(i);
          fleet.list(new HostEntry(100, 0, 0, 0, HostEntry.State.READY, fleet.now(), cold));
        }
      }
      for (int i = 0; i < gateways; i++) {
        ScriptedFleet fleet = fleets.get(i);
        double due = RATE * part[i] / parts * STEP_MS / 1e3;
        for (int n = (int) due + (random.nextDouble() < due - (int) due ? 1 : 0); n > 0; n--) {
          fleet.take(ScriptedFleet.IDEMPOTENT, random.nextInt(FUNCTIONS), 2000);
        }
        for (ScriptedFleet.Out out : List.copyOf(fleet.out)) {
          if (fleet.now().since(out.at).micros() >= ANSWER_MS * 1e3) {
            fleet.end(out, Outcome.OK);
          }
        }
        fleet.pass(STEP_MS);
        if (at >= startedAt) {
          for (ScriptedFleet.Out out : fleet.out) {
            if (out.host == 100 && fleet.now().since(out.at).micros() <= STEP_MS * 1e3) {
              sent.add(at);
            }
          }
        }
        fleet.forgetAnswered();
      }
      while (!sent.isEmpty() && sent.peek() <= at - window) {
        sent.poll();
      }
      double now =
          facts.slowStartFraction()
              + (1 - facts.slowStartFraction()) * Math.max(0, at - startedAt) / warm;
      double allowed = facts.overloadFactor() * now * capacity * window / 1e3;
      double most = allowed + 2 * Math.sqrt(allowed) + 2;
      assertTrue(
          at < startedAt || sent.size() <= most,
          sent.size()
              + " attempts within the window, at most "
              + most
              + " allowed, "
              + (at - startedAt)
              + " ms after the start");
    }
  }

  private static ScriptedFleet fleet(Deployment facts, double cold, double others) {
    return fleet(facts, cold, others, new Moment(1_000_000_000));
  }

  private static ScriptedFleet fleet(Deployment facts, double cold, double others, Moment now) {
    ScriptedFleet fleet = new ScriptedFleet(facts, 0, now);
    for (int host = 0; host < HOSTS; host++) {
      fleet.list(
          new HostEntry(
              100 + host,
              0,
              0,
              0,
              HostEntry.State.READY,
              new Moment(0),
              host == 0 ? cold : others));
    }
    return fleet;
  }
}
