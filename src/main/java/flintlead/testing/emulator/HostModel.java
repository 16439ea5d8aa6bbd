package flintlead.testing.emulator;

import flintlead.time.Span;
import java.util.Set;

/**
 * The model of an emulated host.
 *
 * @param cores of its machine
 * @param speed of a core; 1 is the reference
 * @param memoryMb for instances
 * @param queueCapacity invocations that may wait in it
 * @param concurrentLoads loads that run at a time; twice as many may be queued
 * @param loadsOnMiss whether it loads a function that an invocation lacks, or answers with a miss
 * @param scalesOut whether it loads a further instance by itself when all slots of a function are
 *     taken
 * @param instanceKeepAlive after which an idle instance is unloaded
 * @param slowStartFraction the share of its capacity that it starts with, growing evenly over
 *     {@code slowStartDuration}
 * @param slowStartDuration the length of the slow start
 * @param overloadFactor sent this multiple of what it can do for {@code overloadWindow} while cold,
 *     it collapses
 * @param overloadWindow the window in which the work of a cold host is summed
 * @param deduplicatedTypes trigger types whose duplicates it drops
 * @param defaultWorkMs mean work of an invocation that names none, in milliseconds on a core of
 *     speed 1
 */
public record HostModel(
    int cores,
    double speed,
    double memoryMb,
    int queueCapacity,
    int concurrentLoads,
    boolean loadsOnMiss,
    boolean scalesOut,
    Span instanceKeepAlive,
    double slowStartFraction,
    Span slowStartDuration,
    double overloadFactor,
    Span overloadWindow,
    Set<String> deduplicatedTypes,
    double defaultWorkMs) {

  /** A host of four cores, with the rules' usual values. */
  public static final HostModel DEFAULT =
      new HostModel(
          4,
          1,
          4_000,
          64,
          4,
          true,
          true,
          Span.ofMillis(10_000),
          0.25,
          Span.ofMillis(17_000),
          2.5,
          Span.ofMillis(3_000),
          Set.of("lodge"),
          20);

  /** The same with another reaction to a function that it lacks. */
  public HostModel loadsOnMiss(boolean loads) {
    return new HostModel(
        cores,
        speed,
        memoryMb,
        queueCapacity,
        concurrentLoads,
        loads,
        scalesOut,
        instanceKeepAlive,
        slowStartFraction,
        slowStartDuration,
        overloadFactor,
        overloadWindow,
        deduplicatedTypes,
        defaultWorkMs);
  }

  /** The same on another machine. */
  public HostModel withMachine(
      int newCores, double newSpeed, double newMemoryMb, int newQueue, int newLoadsAtOnce) {
    return new HostModel(
        newCores,
        newSpeed,
        newMemoryMb,
        newQueue,
        newLoadsAtOnce,
        loadsOnMiss,
        scalesOut,
        instanceKeepAlive,
        slowStartFraction,
        slowStartDuration,
        overloadFactor,
        overloadWindow,
        deduplicatedTypes,
        defaultWorkMs);
  }

  /** The same in another size and with other work. */
  public HostModel withSize(int newCores, double newMemoryMb, int newQueue, double newUsualWork) {
    return new HostModel(
        newCores,
        speed,
        newMemoryMb,
        newQueue,
        concurrentLoads,
        loadsOnMiss,
        scalesOut,
        instanceKeepAlive,
        slowStartFraction,
        slowStartDuration,
        overloadFactor,
        overloadWindow,
        deduplicatedTypes,
        newUsualWork);
  }
}
