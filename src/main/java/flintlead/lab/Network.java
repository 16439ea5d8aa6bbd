package flintlead.lab;

import flintlead.time.Span;

/**
 * How the virtual network behaves.
 *
 * @param latency one way, between two places
 * @param jitter added by chance, up to this
 * @param window bytes on their way or unread on a stream, beyond which the sender is held back
 */
public record Network(Span latency, Span jitter, int window) {

    public static final Network USUAL = new Network(new Span(100), new Span(100), 256 << 10);
}
