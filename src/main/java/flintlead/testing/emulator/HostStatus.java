package flintlead.testing.emulator;

/**
 * The state of a host for reports.
 *
 * @param cold whether it is still in its slow start
 * @param working invocations that run
 * @param waiting invocations that wait
 * @param loading loads that run or are queued
 */
public record HostStatus(
    boolean up, boolean cold, boolean draining, int working, int waiting, int loading) {}
