package flintlead.front;

import flintlead.time.Span;

/**
 * Bounds of a front.
 *
 * @param connections open at once
 * @param frame bytes of one line
 * @param idleLeast how long a connection must have been idle before it may make room for a new one
 */
public record FrontBounds(int connections, int frame, Span idleLeast) {

    public static final FrontBounds USUAL = new FrontBounds(1_024, 1 << 20, Span.ofMillis(10_000));

    public FrontBounds {
        if (connections < 1 || frame < 64 || idleLeast.micros() < 0) {
            throw new IllegalArgumentException("a front has room for 1 connection at least, and for frames of 64 bytes");
        }
    }
}
