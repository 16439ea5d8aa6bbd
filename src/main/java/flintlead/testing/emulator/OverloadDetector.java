package flintlead.testing.emulator;

import flintlead.time.Moment;
import flintlead.transport.loop.EventExecutor;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sums the work that arrived lately, and decides whether it makes a cold host collapse. On the
 * host's loop.
 */
final class OverloadDetector {

  /** What chance may add to the work in a cold host's window. */
  private static final double SLACK_MS = 200;

  private final EventExecutor loop;
  private final HostModel model;
  private final Deque<ExecutionLog.Arrival> recent = new ArrayDeque<>();
  private double recentWorkMs;

  OverloadDetector(EventExecutor loop, HostModel model) {
    this.loop = loop;
    this.model = model;
  }

  void clear() {
    recent.clear();
    recentWorkMs = 0;
  }

  /**
   * Adds an arrival.
   *
   * @param capacity the share of the host's full capacity that it has now; 1 for a warm host
   * @return whether a cold host collapses
   */
  boolean arrived(ExecutionLog.Arrival arrival, double capacity) {
    recent.add(arrival);
    recentWorkMs += arrival.workMs;
    Moment from = windowStart();
    while (recent.peek().at.isBefore(from)) {
      recentWorkMs -= recent.poll().workMs;
    }
    double possibleMs =
        model.cores() * model.speed() * capacity * model.overloadWindow().micros() / 1000;
    return recentWorkMs > model.overloadFactor() * possibleMs + SLACK_MS;
  }

  /** Work in milliseconds that may still arrive in the current window of a cold host. */
  double remainingMs(double capacity) {
    Moment from = windowStart();
    double lately = 0;
    for (ExecutionLog.Arrival arrival : recent) {
      lately += arrival.at.isBefore(from) ? 0 : arrival.workMs;
    }
    return model.overloadFactor()
            * model.cores()
            * model.speed()
            * capacity
            * model.overloadWindow().micros()
            / 1000
        - lately;
  }

  private Moment windowStart() {
    return loop.now().minus(model.overloadWindow());
  }
}
