package flintlead.day;

import flintlead.time.Span;
import flintlead.yaml.Section;

/**
 * How the virtual network behaves.
 *
 * @param latency one way, between two places of one hall
 * @param jitter added by chance, up to this
 * @param window bytes on their way or unread on a stream, beyond which the sender is held back
 * @param betweenHalls added one way between places of different halls
 * @param loss share of messages that are lost and sent again after {@code resend}; what follows on the stream waits behind them
 * @param bytesPerSecond of one stream in one direction; 0 for no bound
 */
public record Network(Span latency, Span jitter, int window, Span betweenHalls, double loss, Span resend,
                      double bytesPerSecond) {

    public static final Network USUAL = new Network(new Span(100), new Span(100), 256 << 10, Span.ZERO, 0,
        Span.ofMillis(200), 0);

    private static final Span MOST = Span.ofMillis(10_000);

    /** Reads the section {@code network} of a day's file. */
    public static Network read(Section section) {
        Network network = new Network(section.span("latency", USUAL.latency, Span.ZERO, MOST),
            section.span("jitter", USUAL.jitter, Span.ZERO, MOST), section.whole("window", USUAL.window, 1_024, 1 << 30),
            section.span("betweenHalls", USUAL.betweenHalls, Span.ZERO, MOST), section.number("loss", 0, 0, 0.9),
            section.span("resend", USUAL.resend, new Span(1), MOST), section.number("bytesPerSecond", 0, 0, 1e12));
        section.end();
        return network;
    }
}
