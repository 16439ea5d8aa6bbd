package flintlead.routing.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * A gradual transition from one layout to another: functions whose hash fraction is below the
 * target share are routed by the target layout, the others by the source layout. A larger share
 * moves further functions to the target and none back.
 *
 * @param source the layout to move from
 * @param target the layout to move to
 * @param targetShare share of the functions that the target layout routes, from 0 to 1
 */
public record LayoutTransition(Layout source, Layout target, double targetShare) {

  /** Returns a completed transition to a layout. */
  public static LayoutTransition of(Layout layout) {
    return new LayoutTransition(layout, layout, 1);
  }

  /** Whether the target layout routes all functions. */
  public boolean isComplete() {
    return targetShare >= 1 || source.equals(target);
  }

  /**
   * The pools of both layouts: those of the target, then those of the source that the target lacks
   * or selects other hosts for.
   */
  List<Pool> pools() {
    List<Pool> pools = new ArrayList<>(target.pools());
    if (!isComplete()) {
      source.pools().stream().filter(pool -> !target.hasSameHosts(pool)).forEach(pools::add);
    }
    return pools;
  }

  /** Returns the text in which the transition is stored, target layout first. */
  public String toText() {
    return isComplete()
        ? target.toText()
        : target.toText() + "\tof " + targetShare + "\n" + source.toText();
  }
}
