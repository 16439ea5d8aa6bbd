package flintlead.day;

import flintlead.pool.Layout;
import flintlead.time.Span;
import flintlead.yaml.LayoutReader;
import flintlead.yaml.Section;

/**
 * The pools of a day, and how they change in it.
 *
 * @param layout with which the day begins
 * @param shift null for none
 */
public record Ways(Layout layout, Shift shift) {

    private static final int STEPS_MOST = 1_000;
    private static final Span LONGEST = Span.ofMillis(3_600_000);

    /**
     * A layout that passes into another, a share of the functions a step, on all gateways, each a little later or earlier.
     *
     * @param back when all go back to the first at once; zero for never
     */
    public record Shift(Layout to, Span at, int steps, Span every, Span back) { }

    /** What a day's file says of pools; faults are collected. */
    static Ways read(Section top) {
        Layout layout = LayoutReader.read(top).layout();
        Shift shift = null;
        if (top.has("shift")) {
            Section from = top.section("shift");
            Layout to = LayoutReader.read(from).layout();
            if (to == null) {
                from.wrong("routes", "say nothing", "write the pools and routes to be");
            }
            shift = new Shift(to, from.span("at", Span.ofMillis(2_000), Span.ZERO, LONGEST), from.whole("steps", 4, 1, STEPS_MOST),
                from.span("every", Span.ofMillis(1_000), Span.ZERO, LONGEST), from.span("back", Span.ZERO, Span.ZERO, LONGEST));
            from.end();
        }
        return new Ways(layout == null ? Layout.NONE : layout, shift);
    }
}
