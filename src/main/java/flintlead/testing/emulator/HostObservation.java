package flintlead.testing.emulator;

/**
 * What an observer outside of all rules sees of a host with regard to a function.
 *
 * @param available whether it accepts invocations and will answer them
 * @param freeSlots slots in which an invocation of the function would begin at once
 * @param loadingInstances instances of the function that are being loaded
 * @param queued invocations of the function that wait for a slot
 * @param slots slots of the function's loaded instances
 * @param running invocations of all functions that share the cores
 * @param cores number of cores
 * @param coreSpeed of one core now; 1 is the reference speed
 * @param memoryAvailable whether one more instance of usual size fits
 * @param coldBudgetMs work in milliseconds that may still arrive in a cold host's window; infinite
 *     for a warm host
 */
public record HostObservation(
    boolean available,
    int freeSlots,
    int loadingInstances,
    int queued,
    int slots,
    int running,
    int cores,
    double coreSpeed,
    boolean memoryAvailable,
    double coldBudgetMs) {}
