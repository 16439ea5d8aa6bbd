package flintlead.platform.link;

import flintlead.time.Span;

/**
 * Bounds of the connections to hosts.
 *
 * @param connections to all hosts together
 * @param streams requests on one connection
 * @param body bytes of an answer's body
 * @param dial how long a connection may take to open
 * @param idle after which the host closes a connection
 * @param drainGrace after which a draining host must get nothing new
 */
public record LinkTerms(int connections, int streams, int body, Span dial, Span idle, Span drainGrace) {
}
