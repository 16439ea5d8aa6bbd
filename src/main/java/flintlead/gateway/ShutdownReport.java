package flintlead.gateway;

/**
 * How a shutdown went.
 *
 * @param pendingAtStop invocations without a response when it began
 * @param abandoned those of them that were given one at the end of the grace
 */
public record ShutdownReport(int pendingAtStop, int abandoned) {}
