package flintlead.link;

import flintlead.time.Span;

/**
 * Bounds of the ways to hosts.
 *
 * @param connections open to one host on its best address; one more on each other address
 * @param allConnections open to all hosts together
 * @param dialsPerSecond new connections a second, to all hosts together
 * @param inFlight requests on one connection
 * @param waiting requests that wait for a connection to one host; more end as full, unsent
 * @param unsent bytes written to a connection and not taken by the kernel, beyond which no more is written
 * @param frame bytes of one answer
 * @param dialTime for a connection to open and the host to say who it is
 * @param stuck how long a host may leave a connection's bytes unread before the connection is given up
 * @param idle how long a connection may carry nothing before it is closed
 */
public record LinkBounds(int connections, int allConnections, double dialsPerSecond, int inFlight, int waiting,
                         long unsent, int frame, Span dialTime, Span stuck, Span idle) {

    public static final LinkBounds USUAL = new LinkBounds(2, 2_048, 200, 1_024, 256, 1L << 20, 4 << 20,
        Span.ofMillis(500), Span.ofMillis(3_000), Span.ofMillis(60_000));

    public LinkBounds {
        if (connections < 1 || allConnections < 1 || !(dialsPerSecond > 0) || inFlight < 1 || waiting < 1 || unsent < 1
            || frame < 1 || dialTime.micros() < 1 || stuck.micros() < 1 || idle.micros() < 1) {
            throw new IllegalArgumentException("every bound must be above zero");
        }
    }
}
