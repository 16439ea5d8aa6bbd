package flintlead.configuration.rollout;

import java.util.List;

/** The waves of a rollout, and which of them is the current one. */
final class WaveSequence {

  /** How many gateways have the change after each wave. */
  private final List<Integer> sizes;

  private int current;

  WaveSequence(List<Integer> sizes) {
    this.sizes = sizes;
  }

  /** Makes the first wave current that includes so many gateways. */
  void skipTo(long changed) {
    while (hasNext() && size() < changed) {
      next();
    }
  }

  boolean hasNext() {
    return current + 1 < sizes.size();
  }

  void next() {
    current++;
  }

  /** Returns how many gateways have the change after the current wave. */
  int size() {
    return sizes.get(current);
  }

  /** Returns how many gateways had the change before the current wave. */
  int previousSize() {
    return current == 0 ? 0 : sizes.get(current - 1);
  }

  @Override
  public String toString() {
    return "wave " + (current + 1) + " of " + sizes.size();
  }
}
