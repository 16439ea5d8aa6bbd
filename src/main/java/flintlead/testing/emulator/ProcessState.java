package flintlead.testing.emulator;

import flintlead.time.Moment;
import java.util.function.BooleanSupplier;

/** Which incarnation of an emulated host's process runs, if any. On the host's loop. */
final class ProcessState {

  private int incarnation;
  private boolean up;
  private boolean cold;
  private boolean draining;
  private Moment startedAt;

  void start(Moment now, boolean isCold) {
    incarnation++;
    startedAt = now;
    cold = isCold;
    up = true;
    draining = false;
  }

  void stop() {
    up = false;
  }

  void drain() {
    draining = true;
  }

  boolean isUp() {
    return up;
  }

  boolean isCold() {
    return cold;
  }

  boolean isDraining() {
    return draining;
  }

  int incarnation() {
    return incarnation;
  }

  /** Null before the first start. */
  Moment startedAt() {
    return startedAt;
  }

  /**
   * The share of its full capacity that the host has now: below 1 in the slow start after a cold
   * start.
   */
  double capacity(Moment now, HostModel model) {
    if (!cold) {
      return 1;
    }
    double progress = Math.min(1, now.since(startedAt).ratioTo(model.slowStartDuration()));
    return model.slowStartFraction() + (1 - model.slowStartFraction()) * progress;
  }

  /** Tells later whether the incarnation of now still runs. */
  BooleanSupplier stillRunning() {
    int current = incarnation;
    return () -> up && incarnation == current;
  }

  /** Tells later whether no other incarnation has started since. */
  BooleanSupplier notRestarted() {
    int current = incarnation;
    return () -> incarnation == current;
  }
}
