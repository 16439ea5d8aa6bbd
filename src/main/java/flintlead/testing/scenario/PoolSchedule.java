package flintlead.testing.scenario;

import flintlead.configuration.yaml.LayoutReader;
import flintlead.configuration.yaml.YamlSection;
import flintlead.routing.pool.Layout;
import flintlead.time.Span;

/**
 * The pools of a scenario, and how they change in it.
 *
 * @param layout with which the scenario begins
 * @param change the change; null for none
 */
public record PoolSchedule(Layout layout, LayoutChange change) {

  private static final int MAX_STEPS = 1_000;
  private static final int DEFAULT_STEPS = 4;
  private static final Span MAX_SPAN = Span.ofMillis(3_600_000);

  /**
   * A layout that passes into another, a share of the functions per step, on all gateways, each a
   * little later or earlier.
   *
   * @param target the layout in the end
   * @param startsAt when the first step is made
   * @param steps how many
   * @param stepInterval between two steps
   * @param revertsAt when all return to the first layout at once; zero for never
   */
  public record LayoutChange(
      Layout target, Span startsAt, int steps, Span stepInterval, Span revertsAt) {}

  /** Reads what a scenario file says of pools; what is wrong is collected. */
  static PoolSchedule read(YamlSection top) {
    Layout layout = LayoutReader.read(top).layout();
    LayoutChange shift = top.has("shift") ? readShift(top.section("shift")) : null;
    return new PoolSchedule(layout == null ? Layout.DEFAULT : layout, shift);
  }

  private static LayoutChange readShift(YamlSection section) {
    Layout to = LayoutReader.read(section).layout();
    if (to == null) {
      section.addError("routes", "say nothing", "write the pools and routes to be");
    }
    LayoutChange shift =
        new LayoutChange(
            to,
            section.span("at", Span.ofMillis(2_000), Span.ZERO, MAX_SPAN),
            section.integer("steps", DEFAULT_STEPS, 1, MAX_STEPS),
            section.span("every", Span.ofMillis(1_000), Span.ZERO, MAX_SPAN),
            section.span("back", Span.ZERO, Span.ZERO, MAX_SPAN));
    section.rejectUnknownKeys();
    return shift;
  }
}
