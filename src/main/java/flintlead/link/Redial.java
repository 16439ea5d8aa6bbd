package flintlead.link;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.Random;

/**
 * When a host that could not be reached is dialled again: after a wait that doubles with each failure up to a bound,
 * drawn evenly from its second half, so that gateways that lost a host together don't come back together. Pure.
 */
public final class Redial {

    private static final Span FIRST = Span.ofMillis(50);
    private static final Span LONGEST = Span.ofMillis(2_000);

    private final Random random;
    private int failures;
    private Moment notBefore = new Moment(0);

    public Redial(Random random) {
        this.random = random;
    }

    public boolean mayDial(Moment now) {
        return !now.isBefore(notBefore);
    }

    public void failed(Moment now) {
        Span wait = Span.shorter(LONGEST, FIRST.times(1L << Math.min(failures, 10)));
        failures++;
        notBefore = now.plus(wait.times(0.5 + 0.5 * random.nextDouble()));
    }

    public void reached() {
        failures = 0;
        notBefore = new Moment(0);
    }

    public Moment notBefore() {
        return notBefore;
    }
}
