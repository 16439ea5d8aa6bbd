package flintlead.standin;

import flintlead.time.Span;
import java.util.Set;

/**
 * What a stand-in host is made of.
 *
 * @param queue invocations that may wait in it
 * @param loadsAtOnce loads under way; twice as many may wait
 * @param loadsWhenAbsent whether it loads a function that an invocation lacks, or answers with a miss
 * @param addsCopies whether it starts a further copy by itself when all lanes of a function are taken
 * @param coldFrom the part of its capacity that it starts with, growing evenly over {@code warmAfter}
 * @param fallMultiple sent this multiple of what it can do for {@code overloadFor} while cold, it falls over
 * @param tokened trigger types whose repeats it drops
 * @param usualWork work of an invocation that names none, in milliseconds on a core of speed 1
 */
public record Make(int cores, double speed, double memoryMb, int queue, int loadsAtOnce, boolean loadsWhenAbsent,
                   boolean addsCopies, Span idleLife, double coldFrom, Span warmAfter, double fallMultiple,
                   Span overloadFor, Set<String> tokened, double usualWork) {

    public static final Make USUAL = new Make(4, 1, 4_000, 64, 4, true, true, Span.ofMillis(10_000), 0.25,
        Span.ofMillis(17_000), 2.5, Span.ofMillis(3_000), Set.of("lodge"), 20);

    public Make loadsWhenAbsent(boolean loads) {
        return new Make(cores, speed, memoryMb, queue, loadsAtOnce, loads, addsCopies, idleLife, coldFrom, warmAfter,
            fallMultiple, overloadFor, tokened, usualWork);
    }

    /** The same kind of host on another machine. */
    public Make machine(int ownCores, double ownSpeed, double ownMemoryMb, int ownQueue, int ownLoadsAtOnce) {
        return new Make(ownCores, ownSpeed, ownMemoryMb, ownQueue, ownLoadsAtOnce, loadsWhenAbsent, addsCopies, idleLife,
            coldFrom, warmAfter, fallMultiple, overloadFor, tokened, usualWork);
    }

    public Make of(int cores, double memoryMb, int queue, double usualWork) {
        return new Make(cores, speed, memoryMb, queue, loadsAtOnce, loadsWhenAbsent, addsCopies, idleLife, coldFrom,
            warmAfter, fallMultiple, overloadFor, tokened, usualWork);
    }
}
