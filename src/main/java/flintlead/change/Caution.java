package flintlead.change;

import flintlead.time.Span;

/**
 * How carefully a change goes.
 *
 * @param step share of the ready hosts that a step may take away or move, at least one host
 * @param settle between two steps, for loads and for hosts that have just begun
 * @param watch after the last step, until the change is confirmed by itself
 * @param dead so long without any host that answers, and the change is undone
 * @param worse by so much may the share of invocations that did not succeed grow
 * @param least invocations of a side before it is judged
 * @param certainty standard errors by which the difference must lie above {@code worse}: three are one in 740 by chance
 */
public record Caution(double step, Span settle, Span watch, Span dead, double worse, int least, double certainty) {

    public static final Caution USUAL = new Caution(0.25, Span.ofMillis(2_000), Span.ofMillis(10_000), Span.ofMillis(1_000), 0.02, 50, 3);
}
