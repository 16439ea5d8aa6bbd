package flintlead.testing.scenario;

import flintlead.time.Moment;

/**
 * A gateway was notified of a change in a host's state.
 *
 * @param closed whether the host drains or is gone; else it is ready
 */
public record HostNotice(String gateway, String host, boolean closed, Moment at) {}
