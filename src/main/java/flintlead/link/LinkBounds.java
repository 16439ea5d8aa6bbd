package flintlead.link;

import flintlead.time.Span;

/**
 * Bounds of the way to one host.
 *
 * @param connections open at once
 * @param inFlight requests on one connection
 * @param waiting requests that wait for a connection; more end as full, unsent
 * @param unsent bytes written to a connection and not taken by the kernel, beyond which no more is written
 * @param frame bytes of one answer
 * @param dialTime for a connection to open and the host to say who it is
 * @param stuck how long a host may leave a connection's bytes unread before the connection is given up
 */
public record LinkBounds(int connections, int inFlight, int waiting, long unsent, int frame, Span dialTime,
                         Span stuck) {

    public static final LinkBounds USUAL = new LinkBounds(2, 1_024, 256, 1L << 20, 4 << 20, Span.ofMillis(500),
        Span.ofMillis(3_000));

    public LinkBounds {
        if (connections < 1 || inFlight < 1 || waiting < 1 || unsent < 1 || frame < 1 || dialTime.micros() < 1
            || stuck.micros() < 1) {
            throw new IllegalArgumentException("every bound must be above zero");
        }
    }
}
