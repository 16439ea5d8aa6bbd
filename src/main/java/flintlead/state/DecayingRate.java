package flintlead.state;

import flintlead.time.Moment;
import flintlead.time.Span;

/** How often something happens, by a count that fades over a window. */
public final class DecayingRate {

    private final Span window;
    private double level;
    private Moment at = new Moment(0);

    public DecayingRate(Span window) {
        this.window = window;
    }

    public void count(Moment now) {
        fade(now);
        level += 1;
    }

    public double perSecond(Moment now) {
        fade(now);
        return level * 1e6 / window.micros();
    }

    private void fade(Moment now) {
        level *= Math.exp(-now.since(at).over(window));
        at = now;
    }
}
