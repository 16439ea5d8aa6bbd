package flintlead.state;

import flintlead.time.Moment;

/** Fills at a rate up to one second's worth, from which single tokens are spent. */
public final class TokenBucket {

    private final double perSecond;
    private double level;
    private Moment at;

    public TokenBucket(double perSecond) {
        this.perSecond = perSecond;
        this.level = perSecond;
    }

    public boolean spend(Moment now) {
        if (at != null) {
            level = Math.min(perSecond, level + perSecond * now.since(at).micros() / 1e6);
        }
        at = now;
        if (level < 1) {
            return false;
        }
        level -= 1;
        return true;
    }

    /** Returns a token that was spent in vain. */
    public void giveBack() {
        level = Math.min(perSecond, level + 1);
    }
}
